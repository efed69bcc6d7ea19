#ifndef BORAGELOFT_REVIEW_HARNESS_3_HTTP_H_
#define BORAGELOFT_REVIEW_HARNESS_3_HTTP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

/** Header fields by their names in lower case. */
using Fields = std::map<std::string, std::string>;

/** Where a process listens. */
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  /** @return The address as text, such as 127.0.0.1:80. */
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** A request or an answer that was read whole. */
struct Message {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request.
  int status = 0;      ///< Of an answer.
  Fields fields;
  std::string body;

  /** @return The value of a field, or empty. @param name Name in lower case. */
  std::string Field(const std::string& name) const;
};

/** A TCP connection with blocking calls that end at a deadline. Closes itself. */
class Socket {
 public:
  Socket() = default;
  /** @param descriptor An open socket that is taken over. */
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /**
   * Opens a connection.
   * @param to Where to.
   * @param limit Time for it.
   * @return The connection, closed if it could not be opened.
   */
  static Socket Connect(const Address& to, std::chrono::milliseconds limit);

  /** @return Whether all of @p bytes were written. */
  bool Write(const std::string& bytes);
  /**
   * Reads one message with a stated length.
   * @param limit Time for the whole message.
   * @return The message, or nothing if the connection ended or the time was up before its end.
   */
  std::optional<Message> ReadMessage(std::chrono::milliseconds limit);
  /** Ends both directions at once; a reader in another thread returns. */
  void Shutdown() const;
  void Close();
  bool is_open() const { return descriptor_ >= 0; }

 private:
  bool ReadSome(std::chrono::steady_clock::time_point deadline);

  int descriptor_ = -1;
  std::string input_;
};

/**
 * Opens a listening socket.
 * @param at Where.
 * @return Its descriptor, or -1 if the address is not free.
 */
int Listen(const Address& at);

/**
 * Makes the bytes of a request.
 * @param host Host field.
 * @param fields Further fields.
 */
std::string RequestBytes(const std::string& method, const std::string& target,
                         const std::string& host, const Fields& fields, const std::string& body);

/** Makes the bytes of an answer with a stated length. */
std::string AnswerBytes(int status, const Fields& fields, const std::string& body);

/**
 * Sends one request on a connection of its own.
 * @param limit Time for all of it.
 * @return The answer, or nothing.
 */
std::optional<Message> Call(const Address& to, const std::string& bytes,
                            std::chrono::milliseconds limit);

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_HTTP_H_
