#include "libraries/storage/atomic_file.h"

#include <fmt/format.h>

#include "libraries/storage/file.h"

namespace borageloft::storage {

void WriteFileAtomically(const FileSystem& file_system, const std::string& folder,
                         const std::string& name, std::string_view content) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + std::string(kTemporarySuffix);
  {
    File file(file_system, temporary, OpenMode::kReplace);
    file.Write(0, content);
    file.Sync();
  }
  file_system.rename(temporary, path);
  file_system.sync_folder(folder);
}

void RemoveTemporaryFiles(const FileSystem& file_system, const std::string& folder) {
  for (const std::string& name : file_system.list(folder)) {
    if (name.ends_with(kTemporarySuffix)) {
      file_system.remove(fmt::format("{}/{}", folder, name));
    }
  }
  // A rename whose folder sync failed is visible but may not be durable yet.
  file_system.sync_folder(folder);
}

}  // namespace borageloft::storage
