#pragma once

#include "node/PrefixWatcher.h"
#include "node/PublishedRecord.h"
#include "relay/RelayChoice.h"

#include <boost/asio/steady_timer.hpp>

namespace kingcuploom::relay {

inline constexpr char memberPrefix[] = "kc/node/";
// Key that the nodes prove to each other on their links. Written once, by the first node.
inline constexpr char linkKeyKey[] = "kc/link-key";

struct RegistryCallbacks {
    // The key of the links has been read.
    std::function<void(const std::string& key)> onLinkKey;
    std::function<void(const std::vector<Member>&)> onMembers;
};

// Offers the own node as a relay through the platform's store, and follows the other ones. A node's entry has a lease, so that it goes
// with the node. Runs on the event loop's thread. Must be owned by a shared pointer.
class RelayRegistry : public std::enable_shared_from_this<RelayRegistry> {
public:
    RelayRegistry(boost::asio::io_context&, node::AsyncStore&, const Clock&, RegistryCallbacks);

    // Reads the key of the links, or writes it if there is none.
    void readLinkKey();
    // Registers the own node and keeps it registered.
    void join(const Member&);
    // Removes the own entry.
    void leave();
    // Follows the entries of all nodes, or stops doing so.
    void setWatching(bool);

private:
    void writeLinkKey();
    void requestLease();
    void writeEntry();
    void renew();
    void after(Milliseconds, void (RelayRegistry::*)());
    void onEntry(const std::string& key, const std::optional<std::string>& value);

    boost::asio::io_context& m_loop;
    node::AsyncStore& m_store;
    const Clock& m_clock;
    RegistryCallbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    Member m_self;
    std::shared_ptr<node::PublishedRecord> m_entry;
    LeaseId m_lease;
    bool m_hasLeft = false;
    std::shared_ptr<node::PrefixWatcher> m_watcher;
    std::map<std::string, Member> m_members;
    bool m_isListed = false;
};

} // namespace kingcuploom::relay
