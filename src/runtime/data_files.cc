// Implements disk_table with files of one data directory. A change is durable only after a sync of the file
// and, when the file is new, of the directory.
#include <errno.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <set>

#include "runtime/event_loop_parts.h"

namespace herontally::runtime {

namespace {
// EFBIG: the process's limit of file sizes.
disk_error from_errno() {
  return errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? disk_error::full : disk_error::failed;
}

std::optional<disk_error> write_all(const std::string& path, int flags, const std::string& bytes) {
  int file = open(path.c_str(), flags | O_CLOEXEC, 0600);
  if (file < 0) return from_errno();
  std::size_t done = 0;
  while (done < bytes.size()) {
    ssize_t count = write(file, bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      auto error = from_errno();
      close(file);
      return error;
    }
    done += static_cast<std::size_t>(count);
  }
  close(file);
  return std::nullopt;
}

std::variant<std::string, disk_error> read_range(const std::string& path, std::uint64_t offset,
                                                 std::size_t length) {
  int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return errno == ENOENT ? disk_error::missing : disk_error::failed;
  std::string bytes(length, '\0');
  std::size_t done = 0;
  while (done < length) {
    ssize_t count = pread(file, bytes.data() + done, length - done, static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      close(file);
      return disk_error::failed;
    }
    if (count == 0) break;
    done += static_cast<std::size_t>(count);
  }
  close(file);
  bytes.resize(done);
  return bytes;
}

std::optional<disk_error> sync_path(const std::string& path, int flags) {
  int file = open(path.c_str(), flags | O_CLOEXEC);
  if (file < 0) return errno == ENOENT ? disk_error::missing : disk_error::failed;
  int result = fsync(file);
  auto error = result == 0 ? std::nullopt : std::optional<disk_error>(from_errno());
  close(file);
  return error;
}
std::string parent_of(const std::string& path) {
  auto slash = path.find_last_of('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

// Creates one directory and makes its entry in the parent durable.
std::optional<disk_error> create_directory(const std::string& path) {
  if (mkdir(path.c_str(), 0700) == 0) return sync_path(parent_of(path), O_RDONLY | O_DIRECTORY);
  return errno == EEXIST ? std::nullopt : std::optional<disk_error>(from_errno());
}

std::optional<disk_error> create_directories(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) == 0) return std::nullopt;
  for (auto slash = path.find('/', 1); slash != std::string::npos; slash = path.find('/', slash + 1)) {
    auto ancestor = path.substr(0, slash);
    if (stat(ancestor.c_str(), &status) == 0) continue;
    if (auto error = create_directory(ancestor)) return error;
  }
  return create_directory(path);
}

// The locked file of a data directory. The kernel releases the lock when the process ends, however it ends.
class directory_lock {
 public:
  directory_lock() = default;
  directory_lock(const directory_lock&) = delete;
  ~directory_lock() {
    if (file_ >= 0) close(file_);
  }
  std::optional<disk_error> acquire(const std::string& directory) {
    if (file_ >= 0) return std::nullopt;
    int file = open((directory + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) return from_errno();
    // A file system without locks is used without one.
    if (flock(file, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK) {
      close(file);
      return disk_error::in_use;
    }
    file_ = file;
    return std::nullopt;
  }

 private:
  int file_ = -1;
};
}  // namespace

void bind_files(std::string directory, backend& table) {
  table.disk.acquire = [directory, lock = std::make_shared<directory_lock>()]() -> std::optional<disk_error> {
    if (auto error = create_directories(directory)) return error;
    return lock->acquire(directory);
  };
  auto synced_entries = std::make_shared<std::set<std::string>>();
  auto path = [directory](const std::string& name) { return directory + "/" + name; };
  table.disk.read_at = [path](const std::string& name, std::uint64_t offset, std::size_t length) {
    return read_range(path(name), offset, length);
  };
  table.disk.size = [path](const std::string& name) -> std::variant<std::uint64_t, disk_error> {
    struct stat status {};
    if (stat(path(name).c_str(), &status) != 0)
      return errno == ENOENT ? disk_error::missing : disk_error::failed;
    return static_cast<std::uint64_t>(status.st_size);
  };
  table.disk.append = [path](const std::string& name, const std::string& bytes) {
    return write_all(path(name), O_WRONLY | O_CREAT | O_APPEND, bytes);
  };
  table.disk.replace = [path](const std::string& name, const std::string& bytes) {
    return write_all(path(name), O_WRONLY | O_CREAT | O_TRUNC, bytes);
  };
  table.disk.sync = [path, directory, synced_entries, after = table.after](
                        const std::string& name, std::function<void(std::optional<disk_error>)> done) {
    auto error = sync_path(path(name), O_RDONLY);
    // A new file also needs a sync of the directory, which holds its entry.
    if (!error && !synced_entries->count(name)) {
      error = sync_path(directory, O_RDONLY | O_DIRECTORY);
      if (!error) synced_entries->insert(name);
    }
    after(0, [done, error] { done(error); });
  };
}

}  // namespace herontally::runtime
