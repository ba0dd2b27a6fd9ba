// Disks that forget what was not synced, tear it, fill up, fail, and lose power at a chosen operation.
#include "simulator/world_state.h"

namespace simulator {

// True when the power has gone: nothing reaches the disk any more and nothing is answered.
static bool power_gone(sim_disk& disk) {
  if (disk.crashed) return true;
  if (disk.crash_after > 0 && --disk.crash_after == 0) disk.crashed = true;
  return false;
}

// Finds one machine's disk; nothing once the world is gone.
using disk_finder = std::function<sim_disk*()>;

static std::optional<rt::disk_error> write_error_of(const sim_disk& disk) {
  if (disk.failing) return rt::disk_error::failed;
  if (disk.full) return rt::disk_error::full;
  return std::nullopt;
}

static void bind_disk_reads(const disk_finder& disk_of, rt::backend& table) {
  table.disk.read_at = [disk_of](const std::string& file, std::uint64_t offset,
                                 std::size_t length) -> std::variant<std::string, rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || disk->failing) return rt::disk_error::failed;
    auto found = disk->files.find(file);
    if (found == disk->files.end()) return rt::disk_error::missing;
    auto& bytes = found->second.current;
    return offset < bytes.size() ? bytes.substr(offset, length) : std::string();
  };
  table.disk.size = [disk_of](const std::string& file) -> std::variant<std::uint64_t, rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || disk->failing) return rt::disk_error::failed;
    auto found = disk->files.find(file);
    if (found == disk->files.end()) return rt::disk_error::missing;
    return static_cast<std::uint64_t>(found->second.current.size());
  };
}

static void bind_disk_writes(const disk_finder& disk_of, rt::backend& table) {
  table.disk.append = [disk_of](const std::string& file,
                                const std::string& bytes) -> std::optional<rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || power_gone(*disk)) return std::nullopt;
    if (auto error = write_error_of(*disk)) return error;
    disk->files[file].current += bytes;
    return std::nullopt;
  };
  table.disk.replace = [disk_of](const std::string& file,
                                 const std::string& bytes) -> std::optional<rt::disk_error> {
    auto* disk = disk_of();
    if (!disk || power_gone(*disk)) return std::nullopt;
    if (auto error = write_error_of(*disk)) return error;
    disk->files[file].current = bytes;
    return std::nullopt;
  };
}

void world::state::bind_disk(struct machine* self, rt::backend& table) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  disk_finder disk_of = [weak, name]() -> sim_disk* {
    auto here = weak.lock();
    return here ? &here->machines.at(name)->disk : nullptr;
  };
  bind_disk_reads(disk_of, table);
  bind_disk_writes(disk_of, table);
  table.disk.sync = [weak, disk_of, name, life](const std::string& file,
                                                std::function<void(std::optional<rt::disk_error>)> done) {
    auto here = weak.lock();
    auto* disk = disk_of();
    if (!here || !disk || power_gone(*disk)) return;
    disk->syncs += 1;
    auto time = disk->sync_time +
                static_cast<microseconds>(here->random() % static_cast<std::uint64_t>(disk->sync_time + 1));
    std::string content = disk->files[file].current;
    here->schedule(time, name, life, [disk_of, file, content, done] {
      auto* disk = disk_of();
      if (!disk || disk->crashed) return;
      if (auto error = write_error_of(*disk)) return done(error);
      disk->files[file].synced = content;
      disk->files[file].lasting = true;
      done(std::nullopt);
    });
  };
}

void world::state::lose(struct machine& self, disk_loss loss) {
  auto& disk = self.disk;
  if (loss == disk_loss::all) {
    disk.files.clear();
    return;
  }
  std::vector<std::string> vanished;
  for (auto& [name, file] : disk.files) {
    if (loss == disk_loss::none) {
      // The process ended, the machine didn't: its cache reaches the disk in time.
      file.synced = file.current;
      file.lasting = true;
      continue;
    }
    if (!file.lasting && random() % 2) {
      vanished.push_back(name);
      continue;
    }
    bool grown = file.current.size() >= file.synced.size() &&
                 file.current.compare(0, file.synced.size(), file.synced) == 0;
    if (grown) {
      // Any part of what was appended may be there, the last of it garbled.
      auto extra = file.current.size() - file.synced.size();
      auto kept = extra == 0 ? 0 : random() % (extra + 1);
      file.synced = file.current.substr(0, file.synced.size() + kept);
      if (kept > 4 && random() % 3 == 0) file.synced[file.synced.size() - 1 - random() % 4] ^= 0x41;
    } else if (random() % 2) {
      // A file that was written anew is the old one, or any part of the new one.
      file.synced = file.current.substr(0, random() % (file.current.size() + 1));
    }
    file.current = file.synced;
  }
  for (auto& name : vanished) disk.files.erase(name);
}

}  // namespace simulator
