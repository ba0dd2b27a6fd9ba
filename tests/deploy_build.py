"""The build of the deploy file, carried out in a scratch folder, and the system's files that it opened."""
import glob, os, re, shutil, signal, subprocess, tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Built things, scratch folders and records of runs are no part of a clean checkout.
NOT_IN_CHECKOUT = re.compile(r"build.*|target|journal|\.git|__pycache__")
BUILD_JOBS = 4
BUILD_SECONDS = 540
# What the compiler and the linker start themselves.
COMPILER_PROGRAMS = ("cc1plus", "as", "collect2", "ld")


def read_deploy_file(root=ROOT):
    with open(os.path.join(root, "deploy", "system.toml"), "rb") as source:
        return tomllib.load(source)


def left_out_of_checkout(folder, names):
    return [name for name in names if folder == ROOT and NOT_IN_CHECKOUT.fullmatch(name)]


def link_programs(folder, files):
    """Fills a folder with links to the programs among these files, and to the system's other names for them."""
    os.makedirs(folder)
    for system_folder in ("/usr/sbin", "/usr/bin"):
        for name in os.listdir(system_folder):
            path = os.path.join(system_folder, name)
            link = os.path.join(folder, name)
            if os.path.realpath(path) in files and not os.path.lexists(link):
                os.symlink(path, link)


def files_in_make_rules(text):
    """The prerequisites of rules as compilers write them."""
    words = text.replace("\\\n", " ").replace("\\ ", "\0").split()
    return {word.replace("\0", " ") for word in words if word.startswith("/") and not word.endswith(":")}


def with_link_targets(path):
    """A file's name and, where it is a link, all that it leads to: the links may be of other packages than the file."""
    names = [os.path.normpath(path)]
    while os.path.islink(names[-1]):
        target = os.path.join(os.path.dirname(names[-1]), os.readlink(names[-1]))
        names.append(os.path.normpath(target))
    return names


def read(path):
    with open(path, errors="replace") as source:
        return source.read()


class DeployBuild:
    """A clean checkout in `folder`, built by the deploy file's own command with no programs but those given."""

    def __init__(self, folder, programs):
        self.checkout = os.path.join(folder, "checkout")
        self.target = os.path.join(self.checkout, "target")
        self.programs = os.path.join(folder, "programs")
        shutil.copytree(ROOT, self.checkout, ignore=left_out_of_checkout)
        link_programs(self.programs, programs)
        self.environment = {"PATH": self.programs, "HOME": folder, "LANG": "C.UTF-8"}
        # The linker names each file that it opens.
        self.environment["LDFLAGS"] = "-Wl,--trace"

    def run(self):
        command = re.sub(r"-j *\d+", "-j%d" % BUILD_JOBS, read_deploy_file()["build"])
        # A session of its own, so that a build that takes too long ends with all its processes.
        build = subprocess.Popen(["/bin/sh", "-c", command], cwd=self.checkout, env=self.environment, text=True,
                                 stdout=subprocess.PIPE, stderr=subprocess.STDOUT, start_new_session=True)
        try:
            self.output, _ = build.communicate(timeout=BUILD_SECONDS)
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
        """cmake itself, and the tools and libraries that it found."""
        return {value for name, kind, value in self.cache_entries()
                if value.startswith("/") and (kind == "FILEPATH" or name == "CMAKE_COMMAND")}

    def pkg_config(self, *arguments):
        program = os.path.join(self.programs, "pkg-config")
        result = subprocess.run([program, *arguments], env=self.environment, text=True, stdout=subprocess.PIPE,
                                check=True)
        return result.stdout

    def pkg_config_files(self):
        """The .pc files of the modules that cmake asked for, and of all that these require."""
        waiting = [value for name, _, value in self.cache_entries() if name.endswith("_MODULE_NAME")]
        files = {}
        while waiting:
            module = waiting.pop()
            if module in files:
                continue
            folder = self.pkg_config("--variable=pcfiledir", module).strip()
            files[module] = os.path.join(folder, module + ".pc")
            required = self.pkg_config("--print-requires", "--print-requires-private", module)
            waiting += [line.split()[0] for line in required.splitlines() if line.strip()]
        return set(files.values())

    def compiler_programs(self):
        compiler = os.path.join(self.programs, "g++")
        files = set()
        for name in COMPILER_PROGRAMS:
            shown = subprocess.run([compiler, "-print-prog-name=" + name], env=self.environment, text=True,
                                   stdout=subprocess.PIPE, check=True)
            files.add(shutil.which(shown.stdout.strip(), path=self.programs))
        return files

    def shared_libraries(self):
        """What the built program loads when it starts."""
        program = os.path.join(self.target, "herontally")
        shown = subprocess.run(["ldd", program], text=True, stdout=subprocess.PIPE, check=True)
        return set(re.findall(r"(/\S+) \(0x", shown.stdout))

    def opened_files(self):
        """Every file outside the checkout that the build needed, links and their targets alike."""
        parts = (self.compiled_files(), self.linked_files(), self.cmake_files(), self.found_files(),
                 self.pkg_config_files(), self.compiler_programs(), self.shared_libraries())
        paths = {name for part in parts for path in part for name in with_link_targets(path)}
        own = (self.checkout + os.sep, self.programs + os.sep)
        return {path for path in paths if not path.startswith(own)}
