#include "libraries/storage/file_system.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

#include "libraries/storage/storage_error.h"

namespace borageloft::storage {

namespace {

int DescriptorOf(FileHandle file) { return static_cast<int>(file); }

// Resolves the path of an open descriptor, so that error messages name the file.
std::string PathOf(FileHandle file) {
  const std::string link = "/proc/self/fd/" + std::to_string(DescriptorOf(file));
  std::string path(4096, '\0');
  const ssize_t length = ::readlink(link.c_str(), path.data(), path.size());
  path.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
  return path;
}

FileHandle Open(const std::string& path, int flags) {
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
  if (descriptor < 0) {
    throw FileError("open", path, errno);
  }
  return FileHandle{descriptor};
}

FileHandle OpenFile(const std::string& path, OpenMode mode) {
  switch (mode) {
    case OpenMode::kRead:
      return Open(path, O_RDONLY);
    case OpenMode::kUpdate:
      return Open(path, O_RDWR);
    case OpenMode::kReplace:
      return Open(path, O_RDWR | O_CREAT | O_TRUNC);
  }
  throw FileError("open", path, EINVAL);
}

std::string Read(FileHandle file, std::uint64_t offset, std::size_t size) {
  std::string data(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t count = ::pread(DescriptorOf(file), data.data() + done, size - done,
                                  static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      throw FileError("read", PathOf(file), errno);
    }
    if (count == 0) {
      break;
    }
    done += static_cast<std::size_t>(count);
  }
  data.resize(done);
  return data;
}

void Write(FileHandle file, std::uint64_t offset, std::string_view data) {
  while (!data.empty()) {
    const ssize_t count =
        ::pwrite(DescriptorOf(file), data.data(), data.size(), static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      throw FileError("write", PathOf(file), count == 0 ? ENOSPC : errno);
    }
    data.remove_prefix(static_cast<std::size_t>(count));
    offset += static_cast<std::uint64_t>(count);
  }
}

std::uint64_t Size(FileHandle file) {
  struct stat status {};
  if (::fstat(DescriptorOf(file), &status) != 0) {
    throw FileError("stat", PathOf(file), errno);
  }
  return static_cast<std::uint64_t>(status.st_size);
}

void Truncate(FileHandle file, std::uint64_t size) {
  if (::ftruncate(DescriptorOf(file), static_cast<off_t>(size)) != 0) {
    throw FileError("truncate", PathOf(file), errno);
  }
}

// A sync is not repeated after EINTR or any other error: the kernel may have dropped the dirty
// pages, and a second call would then report success for bytes that were never stored.
void Sync(FileHandle file) {
  if (::fdatasync(DescriptorOf(file)) != 0) {
    throw FileError("sync", PathOf(file), errno);
  }
}

void Rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) {
    throw FileError("rename", from, errno);
  }
}

void Remove(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    throw FileError("remove", path, errno);
  }
}

std::vector<std::string> List(const std::string& folder) {
  const std::unique_ptr<DIR, int (*)(DIR*)> stream(::opendir(folder.c_str()), &::closedir);
  if (!stream) {
    throw FileError("list", folder, errno);
  }
  std::vector<std::string> names;
  errno = 0;
  while (const dirent* entry = ::readdir(stream.get())) {
    const std::string name(static_cast<const char*>(entry->d_name));
    if (name != "." && name != "..") {
      names.push_back(name);
    }
  }
  if (errno != 0) {
    throw FileError("list", folder, errno);
  }
  return names;
}

bool IsFolder(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 && S_ISDIR(status.st_mode);
}

void CreateFolder(const std::string& folder) {
  if (::mkdir(folder.c_str(), 0700) != 0 && !(errno == EEXIST && IsFolder(folder))) {
    throw FileError("create folder", folder, errno);
  }
}

void SyncFolder(const std::string& folder) {
  const FileHandle handle = Open(folder, O_RDONLY | O_DIRECTORY);
  const int result = ::fsync(DescriptorOf(handle));
  const int code = errno;
  ::close(DescriptorOf(handle));
  if (result != 0) {
    throw FileError("sync folder", folder, code);
  }
}

FileHandle Lock(const std::string& path) {
  const FileHandle handle = Open(path, O_RDWR | O_CREAT);
  if (::flock(DescriptorOf(handle), LOCK_EX | LOCK_NB) != 0) {
    const int code = errno;
    ::close(DescriptorOf(handle));
    if (code == EWOULDBLOCK) {
      throw FolderLockedError(path + " is locked: another process uses this data folder");
    }
    throw FileError("lock", path, code);
  }
  return handle;
}

}  // namespace

FileSystem PosixFileSystem() {
  return FileSystem{
      .open = OpenFile,
      .close = [](FileHandle file) { ::close(DescriptorOf(file)); },
      .read = Read,
      .write = Write,
      .size = Size,
      .truncate = Truncate,
      .sync = Sync,
      .rename = Rename,
      .remove = Remove,
      .list = List,
      .is_folder = IsFolder,
      .create_folder = CreateFolder,
      .sync_folder = SyncFolder,
      .lock = Lock,
  };
}

}  // namespace borageloft::storage
