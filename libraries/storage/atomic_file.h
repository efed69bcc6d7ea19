#ifndef BORAGELOFT_STORAGE_ATOMIC_FILE_H_
#define BORAGELOFT_STORAGE_ATOMIC_FILE_H_

#include <string>
#include <string_view>

#include "libraries/storage/file_system.h"

namespace borageloft::storage {

/** Ending of the name under which a file is written before it is renamed. */
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/**
 * Durably creates or replaces a file; a crash leaves either the old or the new content.
 * @throws FileError if an operation fails. The name may then refer to either content.
 */
void WriteFileAtomically(const FileSystem& file_system, const std::string& folder,
                         const std::string& name, std::string_view content);

/** Removes what a crash left of WriteFileAtomically, and makes the folder's entries durable. */
void RemoveTemporaryFiles(const FileSystem& file_system, const std::string& folder);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_ATOMIC_FILE_H_
