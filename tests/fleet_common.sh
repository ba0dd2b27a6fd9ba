# Shared by the fleet scripts, which source it with their arguments BUILD [SITE]. Sets root, build, site and folder, defines
# fleet, and at exit stops the fleet, removes its folder and, after a failure, prints the ends of its logs.
root="$(cd "$(dirname "$0")/.." && pwd)"
build="$1"
site="${2:-swanreach}"
folder="$(mktemp -d)"
fleet() { "$root/tools/fleet" --folder "$folder" --build "$build" "$@"; }
finish() {
  code=$?
  if [ $code -ne 0 ]; then tail -n 5 "$folder"/logs/*.log || true; fi
  fleet down >/dev/null || true
  rm -rf "$folder"
  exit $code
}
trap finish EXIT
