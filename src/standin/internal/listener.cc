#include "standin/internal/listener.h"

namespace geraniumspread::standin::detail {
namespace {

namespace asio = boost::asio;

// Waits until the caller has gone, without an answer.
asio::awaitable<void> NeverAnswer(asio::any_io_executor executor,
                                  transport::HttpResponder& responder) {
  const auto signal = std::make_shared<Signal>(executor);
  responder.OnDisconnect([signal] { signal->Notify(); });
  co_await signal->Wait();
}

}  // namespace

Listener::Listener(asio::any_io_executor io_executor,
                   transport::Endpoint listen_endpoint,
                   RequestHandler& request_handler)
    : executor(std::move(io_executor)),
      endpoint(std::move(listen_endpoint)),
      handler(request_handler) {}

std::optional<std::string> Listener::Open() {
  if (this->current) {
    return std::nullopt;
  }
  auto group = std::make_shared<ConnectionGroup>();
  // A weak pointer: the server is a part of the group.
  group->server = std::make_unique<transport::HttpServer>(
      this->executor, transport::ServerLimits{},
      [this, weak = std::weak_ptr(group)](transport::HttpRequest request,
                                          transport::HttpResponder& responder) {
        return this->Dispatch(weak.lock(), std::move(request), responder);
      });
  if (const auto port = group->server->Listen(this->endpoint); !port) {
    return port.error().message;
  }
  this->current = std::move(group);
  return std::nullopt;
}

void Listener::Close() {
  this->current.reset();
  this->former.clear();
}

void Listener::Silence() {
  if (!this->current) {
    return;
  }
  this->current->silent = true;
  this->current->server->BeginDrain();
  this->former.push_back(std::move(this->current));
  this->Open();
}

void Listener::Refuse() {
  if (!this->current) {
    return;
  }
  this->current->server->BeginDrain();
  this->former.push_back(std::move(this->current));
}

asio::awaitable<void> Listener::Dispatch(std::shared_ptr<ConnectionGroup> group,
                                         transport::HttpRequest request,
                                         transport::HttpResponder& responder) {
  if (!group) {
    co_return;
  }
  if (group->silent) {
    group.reset();
    co_await NeverAnswer(this->executor, responder);
    co_return;
  }
  group.reset();
  co_await this->handler.Handle(std::move(request), responder);
}

}  // namespace geraniumspread::standin::detail
