// Simulated disks: unsynced writes that are lost or torn at a power failure, full and failing disks, and a
// power failure at a chosen operation.
#include "simulator/world_state.h"

namespace simulator {

// Counts the operation towards `crash_after`; true once the power has failed: the operation has no effect.
static bool power_lost(sim_disk& disk) {
  if (disk.crashed) return true;
  if (disk.crash_after > 0 && --disk.crash_after == 0) disk.crashed = true;
  return false;
}

// Finds one machine's disk; nullptr once the world is destroyed.
using disk_finder = std::function<sim_disk*()>;

static std::optional<rt::disk_error> write_error_of(const sim_disk& disk) {
  if (disk.failing) return rt::disk_error::failed;
  if (disk.full) return rt::disk_error::full;
  return std::nullopt;
}

static void bind_disk_reads(const disk_finder& disk_of, rt::backend& backend) {
  backend.disk.read_at = [disk_of](const std::string& file, std::uint64_t offset,
                                   std::size_t length) -> std::variant<std::string, rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || disk->failing) return rt::disk_error::failed;
    auto found = disk->files.find(file);
    if (found == disk->files.end()) return rt::disk_error::missing;
    auto& bytes = found->second.current;
    return offset < bytes.size() ? bytes.substr(offset, length) : std::string();
  };
  backend.disk.size = [disk_of](const std::string& file) -> std::variant<std::uint64_t, rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || disk->failing) return rt::disk_error::failed;
    auto found = disk->files.find(file);
    if (found == disk->files.end()) return rt::disk_error::missing;
    return static_cast<std::uint64_t>(found->second.current.size());
  };
}

static void bind_disk_writes(const disk_finder& disk_of, rt::backend& backend) {
  backend.disk.append = [disk_of](const std::string& file,
                                  const std::string& bytes) -> std::optional<rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || power_lost(*disk)) return std::nullopt;
    if (auto error = write_error_of(*disk)) return error;
    disk->files[file].current += bytes;
    return std::nullopt;
  };
  backend.disk.replace = [disk_of](const std::string& file,
                                   const std::string& bytes) -> std::optional<rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || power_lost(*disk)) return std::nullopt;
    if (auto error = write_error_of(*disk)) return error;
    disk->files[file].current = bytes;
    return std::nullopt;
  };
}

void world::state::bind_disk(struct machine* self, rt::backend& backend) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  disk_finder disk_of = [weak, name]() -> sim_disk* {
    auto world = weak.lock();
    return world ? &world->machines.at(name)->disk : nullptr;
  };
  backend.disk.acquire = [disk_of]() -> std::optional<rt::disk_error> {
    auto* disk = disk_of();
    return disk && !disk->failing ? std::nullopt : std::optional(rt::disk_error::failed);
  };
  bind_disk_reads(disk_of, backend);
  bind_disk_writes(disk_of, backend);
  backend.disk.sync = [weak, disk_of, name, life](const std::string& file,
                                                  std::function<void(std::optional<rt::disk_error>)> done) {
    auto world = weak.lock();
    auto* disk = disk_of();
    if (!world || !disk || power_lost(*disk)) return;
    disk->syncs += 1;
    auto time = disk->sync_time +
                static_cast<microseconds>(world->random() % static_cast<std::uint64_t>(disk->sync_time + 1));
    std::string content = disk->files[file].current;
    world->schedule(time, name, life, [disk_of, file, content, done] {
      auto* disk = disk_of();
      if (!disk || disk->crashed) return;
      if (auto error = write_error_of(*disk)) return done(error);
      disk->files[file].synced = content;
      disk->files[file].directory_entry_durable = true;
      done(std::nullopt);
    });
  };
}

void world::state::apply_disk_loss(struct machine& self, disk_loss loss) {
  auto& disk = self.disk;
  if (loss == disk_loss::all) {
    disk.files.clear();
    return;
  }
  std::vector<std::string> vanished;
  for (auto& [name, file] : disk.files) {
    if (loss == disk_loss::none) {
      // Only the process ended: the machine's page cache still reaches the disk.
      file.synced = file.current;
      file.directory_entry_durable = true;
      continue;
    }
    if (!file.directory_entry_durable && random() % 2) {
      vanished.push_back(name);
      continue;
    }
    bool appended = file.current.size() >= file.synced.size() &&
                    file.current.compare(0, file.synced.size(), file.synced) == 0;
    if (appended) {
      // Any prefix of the appended bytes may have survived; one of its last four bytes may be corrupt.
      auto extra = file.current.size() - file.synced.size();
      auto kept = extra == 0 ? 0 : random() % (extra + 1);
      file.synced = file.current.substr(0, file.synced.size() + kept);
      if (kept > 4 && random() % 3 == 0) file.synced[file.synced.size() - 1 - random() % 4] ^= 0x41;
    } else if (random() % 2) {
      // A rewritten file has its old content or any prefix of the new one.
      file.synced = file.current.substr(0, random() % (file.current.size() + 1));
    }
    file.current = file.synced;
  }
  for (auto& name : vanished) disk.files.erase(name);
}

}  // namespace simulator
