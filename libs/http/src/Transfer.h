#pragma once

#include "EasyHandle.h"
#include "http/HttpClient.h"

#include <optional>

namespace kingcuploom::http {

// One request on one easy handle: sets the handle up, collects the answer and interprets the result. Used by one thread.
class Transfer {
public:
    Transfer(CURL*, const std::string& baseUrl, const Request&);
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    void setTimeouts(Milliseconds total, Milliseconds connect);
    void setReuse(ConnectionReuse);
    void setMaxResponseBytes(std::size_t bytes) { m_maxResponseBytes = bytes; }

    void setCancellation(std::function<bool()>);

    // Passes the body on instead of keeping it.
    void setConsumer(std::function<bool(std::string_view)> onData, std::function<bool(int)> onStatus);

    // The error of a finished transfer, nothing when the answer is complete.
    std::optional<ClientError> errorOf(CURLcode) const;

    // The answer; leaves the transfer empty.
    Response takeResponse();

private:
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* self);
    static int onProgress(void* self, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
    static int onBeforeRequest(void* self, char* remoteIp, char* localIp, int remotePort, int localPort);

    void setRequest(const Request&);
    void setHeaders(const Request&);
    bool addHeaderLine(std::string_view line);
    bool addBody(std::string_view data);
    bool isSent() const;
    bool isComplete() const;
    int status() const;
    ClientErrorCode codeOf(CURLcode) const;

    CURL* m_handle;
    HeaderList m_requestHeaders;
    bool m_isHead = false;
    bool m_maySendAgain = false;
    int m_sendAttempts = 0;
    std::size_t m_maxResponseBytes = 0;
    std::size_t m_headerBytes = 0;
    bool m_hasAllHeaders = false;
    bool m_isTooLarge = false;
    bool m_isCancelled = false;
    std::function<bool()> m_cancellation;
    std::function<bool(std::string_view)> m_onData;
    std::function<bool(int)> m_onStatus;
    Response m_response;
};

} // namespace kingcuploom::http
