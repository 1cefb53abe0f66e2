#pragma once

#include <curl/curl.h>
#include <memory>

namespace kingcuploom::http {

struct EasyDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct MultiDeleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

// Initialises libcurl on the first call.
EasyHandle makeEasyHandle();

} // namespace kingcuploom::http
