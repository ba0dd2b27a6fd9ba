"""Runs the deploy file's build command in a temporary copy of the source, and lists the system files that the build opened.
Which packages own them is checked in deploy_packages_test.py."""
import glob, os, re, shutil, signal, subprocess, tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Build output, scratch folders and records of runs, which a clean checkout doesn't contain.
NOT_IN_CHECKOUT = re.compile(r"build.*|target|journal|\.git|__pycache__")
BUILD_JOBS = 4
BUILD_TIMEOUT_SECONDS = 540
# Programs that the compiler driver and the linker start.
COMPILER_PROGRAMS = ("cc1plus", "as", "collect2", "ld")


def read_deploy_file(root=ROOT):
    with open(os.path.join(root, "deploy", "system.toml"), "rb") as source:
        return tomllib.load(source)


def excluded_from_checkout(folder, names):
    return [name for name in names if folder == ROOT and NOT_IN_CHECKOUT.fullmatch(name)]


def link_programs(folder, files):
    """Creates a folder with a link for each name in the system's program folders that leads to one of these files."""
    os.makedirs(folder)
    for system_folder in ("/usr/sbin", "/usr/bin"):
        for name in os.listdir(system_folder):
            path = os.path.join(system_folder, name)
            link = os.path.join(folder, name)
            if os.path.realpath(path) in files and not os.path.lexists(link):
                os.symlink(path, link)


def files_in_make_rules(text):
    """The prerequisites in make rules as compilers write them."""
    words = text.replace("\\\n", " ").replace("\\ ", "\0").split()
    return {word.replace("\0", " ") for word in words if word.startswith("/") and not word.endswith(":")}


def with_link_targets(path):
    """A path and, if it is a link, the paths of all its targets: links may belong to other packages than their targets."""
    names = [os.path.normpath(path)]
    while os.path.islink(names[-1]):
        target = os.path.join(os.path.dirname(names[-1]), os.readlink(names[-1]))
        names.append(os.path.normpath(target))
    return names


def read(path):
    with open(path, errors="replace") as source:
        return source.read()


class DeployBuild:
    """A clean checkout in `folder`, built by the deploy file's own command with only the given programs on the PATH."""

    def __init__(self, folder, programs):
        self.checkout = os.path.join(folder, "checkout")
        self.target = os.path.join(self.checkout, "target")
        self.programs = os.path.join(folder, "programs")
        shutil.copytree(ROOT, self.checkout, ignore=excluded_from_checkout)
        link_programs(self.programs, programs)
        self.environment = {"PATH": self.programs, "HOME": folder, "LANG": "C.UTF-8"}
        # Makes the linker print each file that it opens.
        self.environment["LDFLAGS"] = "-Wl,--trace"

    def run(self):
        """The exit code of the build, with its output in `output`. Raises TimeoutExpired after BUILD_TIMEOUT_SECONDS."""
        command = re.sub(r"-j *\d+", "-j%d" % BUILD_JOBS, read_deploy_file()["build"])
        # A session of its own, so that all processes of a build that times out can be killed.
        build = subprocess.Popen(["/bin/sh", "-c", command], cwd=self.checkout, env=self.environment, text=True,
                                 stdout=subprocess.PIPE, stderr=subprocess.STDOUT, start_new_session=True)
        try:
            self.output, _ = build.communicate(timeout=BUILD_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            os.killpg(build.pid, signal.SIGKILL)
            raise
        return build.returncode

    def find(self, pattern):
        return glob.glob(os.path.join(self.target, "**", pattern), recursive=True)

    def compiled_files(self):
        files = set()
        for rules in self.find("*.d"):
            files |= files_in_make_rules(read(rules))
        return files

    def linked_files(self):
        lines = {line.strip() for line in self.output.splitlines()}
        return {line for line in lines if line.startswith("/") and os.path.isfile(line)}

    def cmake_files(self):
        return set(re.findall(r'"(/[^"]+)"', read(os.path.join(self.target, "CMakeFiles", "Makefile.cmake"))))

    def cache_entries(self):
        cache = read(os.path.join(self.target, "CMakeCache.txt"))
        return re.findall(r"^([^#/:][^:]*):([A-Z]+)=(.+)$", cache, re.MULTILINE)

    def found_files(self):
        """cmake itself, and the tools and libraries that it has found."""
        return {value for name, kind, value in self.cache_entries()
                if value.startswith("/") and (kind == "FILEPATH" or name == "CMAKE_COMMAND")}

    def pkg_config(self, *arguments):
        program = os.path.join(self.programs, "pkg-config")
        result = subprocess.run([program, *arguments], env=self.environment, text=True, stdout=subprocess.PIPE,
                                check=True)
        return result.stdout

    def pkg_config_files(self):
        """The .pc files of the modules that cmake queried, and of all modules that these require."""
        pending = [value for name, _, value in self.cache_entries() if name.endswith("_MODULE_NAME")]
        files = {}
        while pending:
            module = pending.pop()
            if module in files:
                continue
            folder = self.pkg_config("--variable=pcfiledir", module).strip()
            files[module] = os.path.join(folder, module + ".pc")
            required = self.pkg_config("--print-requires", "--print-requires-private", module)
            pending += [line.split()[0] for line in required.splitlines() if line.strip()]
        return set(files.values())

    def compiler_programs(self):
        compiler = os.path.join(self.programs, "g++")
        files = set()
        for name in COMPILER_PROGRAMS:
            result = subprocess.run([compiler, "-print-prog-name=" + name], env=self.environment, text=True,
                                   stdout=subprocess.PIPE, check=True)
            files.add(shutil.which(result.stdout.strip(), path=self.programs))
        return files

    def shared_libraries(self):
        """The shared libraries that the built program loads when it starts."""
        program = os.path.join(self.target, "herontally")
        result = subprocess.run(["ldd", program], text=True, stdout=subprocess.PIPE, check=True)
        return set(re.findall(r"(/\S+) \(0x", result.stdout))

    def opened_files(self):
        """Every file outside the checkout that the build needed; both the links and their targets."""
        parts = (self.compiled_files(), self.linked_files(), self.cmake_files(), self.found_files(),
                 self.pkg_config_files(), self.compiler_programs(), self.shared_libraries())
        paths = {name for part in parts for path in part for name in with_link_targets(path)}
        own_folders = (self.checkout + os.sep, self.programs + os.sep)
        return {path for path in paths if not path.startswith(own_folders)}
