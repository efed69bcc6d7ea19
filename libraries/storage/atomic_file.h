#ifndef BORAGELOFT_STORAGE_ATOMIC_FILE_H_
#define BORAGELOFT_STORAGE_ATOMIC_FILE_H_

#include <string>
#include <string_view>

#include "libraries/storage/file_system.h"

namespace borageloft::storage {

/** Suffix of the temporary file that is written and then renamed to its final name. */
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/**
 * Durably creates or replaces a file; a crash leaves either the old or the new content.
 * @throws FileError if an operation fails. The file may then have the old or the new content.
 */
void WriteFileAtomically(const FileSystem& file_system, const std::string& folder,
                         const std::string& name, std::string_view content);

/** Removes files that an interrupted WriteFileAtomically left, and syncs the folder's entries. */
void RemoveTemporaryFiles(const FileSystem& file_system, const std::string& folder);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_ATOMIC_FILE_H_
