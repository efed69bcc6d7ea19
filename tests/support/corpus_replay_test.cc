#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

// Guards against a decoder that fails on an input that was found or written for it before. An
// unexpected exception or a failed check ends the test.
TEST(CorpusTest, EveryInputIsDecodedOrRefused) {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(CORPUS_FOLDER)) {
    SCOPED_TRACE(entry.path().string());
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string input{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size()),
        0);
    // Each prefix stands for an input that was cut.
    for (std::size_t size = 0; size < input.size(); ++size) {
      EXPECT_EQ(LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), size),
                0);
    }
    ++count;
  }
  EXPECT_GT(count, 0U);
}

}  // namespace
