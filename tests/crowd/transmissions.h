#ifndef CROWD_TRANSMISSIONS_H_
#define CROWD_TRANSMISSIONS_H_

#include <cstddef>
#include <string>

#include "crowd/client_crowd.h"

// The transmissions of clients that exhaust a server's memory.
namespace wagtailshore::crowd {

// How a client sends its body.
enum class Shape {
  kWhole,
  // An announced length, all but the last byte.
  kOneByteShort,
  // The same, then one byte now and then.
  kTrickle,
  // Large chunks without the last one.
  kLargeChunks,
  // Chunks of one byte, short of the end.
  kSmallChunks,
  // Chunks of one byte with long extensions, short of the end.
  kExtensions,
  // A chunk's line that does not end, and a trailer that does not.
  kEndlessChunkLine,
  kEndlessTrailer,
  // Three times the largest size.
  kChunksOverLimit,
  kLengthOverLimit,
  // Two bodies of the largest size at once on a connection.
  kTwoBodies,
  // Many requests without a body at once on a connection.
  kPipelined,
  // Requests whose answers the client does not read.
  kAnswersNotRead,
  // A whole head of almost 16 KiB with the shortest fields, and a body without
  // its end.
  kManyFields,
  // A head of almost 16 KiB without its end.
  kHeadShort,
  // Nothing at all.
  kIdle,
};

struct TargetRequest {
  // The lines of the head after the request line, without framing, each with
  // its line break.
  std::string headers;
  std::string path;
  // For requests without a body, and for those with large answers.
  std::string bodiless_path;
  std::string large_answer_path;
  // Begins and ends each whole body, so that the server can parse it.
  std::string body_begin;
  std::string body_end;
  size_t max_body_bytes = 0;
};

Transmission TransmissionOf(Shape shape, const TargetRequest& target);

}  // namespace wagtailshore::crowd

#endif  // CROWD_TRANSMISSIONS_H_
