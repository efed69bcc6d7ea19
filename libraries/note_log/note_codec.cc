#include "libraries/note_log/note_codec.h"

#include <fmt/format.h>

#include <msgpack.hpp>
#include <utility>

#include "libraries/note_log/error.h"

namespace borageloft::note_log {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Bounds of a whole encoding: texts and records of the largest snapshot.
constexpr std::size_t kMaxEncodedBytes = std::size_t{48} << 20U;
constexpr std::size_t kMaxDepth = 6;

/** Reads the fields of one msgpack array in order. */
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw NoteLogError("field is not an array");
    }
    array_ = object.via.array;
  }

  FieldReader(const msgpack::object& object, std::size_t size) : FieldReader(object) {
    if (array_.size != size) {
      throw NoteLogError(fmt::format("array has {} fields instead of {}", array_.size, size));
    }
  }

  std::size_t size() const { return array_.size; }

  const msgpack::object& Next() {
    if (position_ >= array_.size) {
      throw NoteLogError("array has too few fields");
    }
    return array_.ptr[position_++];
  }

  std::uint64_t Number() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::POSITIVE_INTEGER) {
      throw NoteLogError("field is not a number");
    }
    return object.via.u64;
  }

  std::string Text(std::size_t max) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BIN || object.via.bin.size > max) {
      throw NoteLogError(fmt::format("field is not a byte string of up to {} bytes", max));
    }
    return {object.via.bin.ptr, object.via.bin.size};
  }

 private:
  msgpack::object_array array_{};
  std::size_t position_ = 0;
};

void PackText(Packer& packer, std::string_view text) {
  packer.pack_bin(static_cast<std::uint32_t>(text.size()));
  packer.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void PackNote(Packer& packer, const Note& note) {
  packer.pack_array(4).pack(note.number);
  PackText(packer, note.author);
  PackText(packer, note.digest);
  PackText(packer, note.text);
}

Note ReadNote(const msgpack::object& object) {
  FieldReader reader(object, 4);
  Note note;
  note.number = reader.Number();
  note.author = reader.Text(kMaxAuthorBytes);
  note.digest = reader.Text(kMaxDigestBytes);
  note.text = reader.Text(kMaxNoteBytes);
  return note;
}

template <typename Notes>
void PackNotes(Packer& packer, const Notes& notes) {
  packer.pack_array(static_cast<std::uint32_t>(notes.size()));
  for (const Note& note : notes) {
    PackNote(packer, note);
  }
}

template <typename Notes>
Notes ReadNotes(const msgpack::object& object) {
  FieldReader list(object);
  Notes notes;
  for (std::size_t i = 0; i < list.size(); ++i) {
    notes.push_back(ReadNote(list.Next()));
  }
  return notes;
}

void PackChain(Packer& packer, const PolicyChain& chain) {
  packer.pack_array(3).pack(chain.base_number());
  PackText(packer, chain.base_text());
  PackNotes(packer, chain.notes());
}

PolicyChain ReadChain(const msgpack::object& object) {
  FieldReader reader(object, 3);
  const NoteNumber base_number = reader.Number();
  std::string base_text = reader.Text(kMaxChainBytes);
  return {base_number, std::move(base_text), ReadNotes<std::deque<Note>>(reader.Next())};
}

/** Lets @p pack write one value and returns its bytes. */
template <typename Pack>
std::string Encode(Pack pack) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  pack(packer);
  return {buffer.data(), buffer.size()};
}

/**
 * Parses @p bytes and passes the top-level object to @p read. The parser takes memory for an array
 * as soon as it has read its length, so @p max_array bounds what a short input can claim.
 */
template <typename Read>
auto Parse(std::string_view bytes, Read read, std::size_t max_array = kMaxChainNotes) {
  if (bytes.size() > kMaxEncodedBytes) {
    throw NoteLogError(fmt::format("{} bytes exceed the bound", bytes.size()));
  }
  try {
    std::size_t offset = 0;
    const msgpack::unpack_limit limit(max_array, 0, 0, kMaxEncodedBytes, 0, kMaxDepth);
    // Byte strings refer to the input; the readers copy what they keep.
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset,
        [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limit);
    if (offset != bytes.size()) {
      throw NoteLogError("bytes follow the encoded value");
    }
    return read(handle.get());
  } catch (const msgpack::unpack_error& error) {
    throw NoteLogError(fmt::format("not valid msgpack: {}", error.what()));
  }
}

}  // namespace

std::string EncodeNote(const Note& note) {
  return Encode([&](Packer& packer) { PackNote(packer, note); });
}

Note DecodeNote(std::string_view bytes) { return Parse(bytes, ReadNote); }

std::string EncodeOutcome(const NoteOutcome& outcome) {
  return Encode([&](Packer& packer) {
    packer.pack_array(6).pack(static_cast<std::uint8_t>(outcome.kind));
    packer.pack(outcome.number).pack(outcome.expected);
    PackText(packer, outcome.winner_digest);
    PackText(packer, outcome.winner_author);
    packer.pack_array(static_cast<std::uint32_t>(outcome.errors.size()));
    for (const std::string& error : outcome.errors) {
      PackText(packer, error);
    }
  });
}

NoteOutcome DecodeOutcome(std::string_view bytes) {
  return Parse(bytes, [](const msgpack::object& object) {
    FieldReader reader(object, 6);
    NoteOutcome outcome;
    const std::uint64_t kind = reader.Number();
    if (kind > static_cast<std::uint64_t>(NoteOutcomeKind::kMalformed)) {
      throw NoteLogError(fmt::format("outcome {} is unknown", kind));
    }
    outcome.kind = static_cast<NoteOutcomeKind>(kind);
    outcome.number = reader.Number();
    outcome.expected = reader.Number();
    outcome.winner_digest = reader.Text(kMaxDigestBytes);
    outcome.winner_author = reader.Text(kMaxAuthorBytes);
    FieldReader errors(reader.Next());
    if (errors.size() > kMaxOutcomeErrors) {
      throw NoteLogError("outcome has too many errors");
    }
    for (std::size_t i = 0; i < errors.size(); ++i) {
      outcome.errors.push_back(errors.Text(kMaxOutcomeErrorBytes));
    }
    return outcome;
  });
}

std::string EncodeDelta(const NoteDelta& delta) {
  return Encode([&](Packer& packer) {
    packer.pack_array(3).pack(delta.latest);
    if (delta.snapshot) {
      PackChain(packer, *delta.snapshot);
    } else {
      packer.pack_nil();
    }
    PackNotes(packer, delta.notes);
  });
}

NoteDelta DecodeDelta(std::string_view bytes) {
  return Parse(bytes, [](const msgpack::object& object) {
    FieldReader reader(object, 3);
    NoteDelta delta;
    delta.latest = reader.Number();
    if (const msgpack::object& snapshot = reader.Next(); !snapshot.is_nil()) {
      delta.snapshot = ReadChain(snapshot);
    }
    delta.notes = ReadNotes<std::vector<Note>>(reader.Next());
    return delta;
  });
}

std::string EncodeChain(const PolicyChain& chain) {
  return Encode([&](Packer& packer) { PackChain(packer, chain); });
}

PolicyChain DecodeChain(std::string_view bytes) { return Parse(bytes, ReadChain); }

std::string EncodeLogSnapshot(const PolicyChain& chain, const std::deque<NoteRecord>& records) {
  return Encode([&](Packer& packer) {
    packer.pack_array(2);
    PackChain(packer, chain);
    packer.pack_array(static_cast<std::uint32_t>(records.size()));
    for (const NoteRecord& record : records) {
      packer.pack_array(3).pack(record.number);
      PackText(packer, record.author);
      PackText(packer, record.digest);
    }
  });
}

NoteLogSnapshot DecodeLogSnapshot(std::string_view bytes) {
  const auto read = [](const msgpack::object& object) {
    FieldReader reader(object, 2);
    NoteLogSnapshot snapshot;
    snapshot.chain = ReadChain(reader.Next());
    FieldReader list(reader.Next());
    for (std::size_t i = 0; i < list.size(); ++i) {
      FieldReader item(list.Next(), 3);
      NoteRecord record;
      record.number = item.Number();
      record.author = item.Text(kMaxAuthorBytes);
      record.digest = item.Text(kMaxDigestBytes);
      snapshot.records.push_back(std::move(record));
    }
    return snapshot;
  };
  return Parse(bytes, read, kMaxRememberedNotes);
}

}  // namespace borageloft::note_log
