"""The installed Debian packages: which one owns a file, and what a list of packages brings along when it is installed."""
import os, re, subprocess


def query(*arguments):
    """Output of dpkg-query. A failure is left to the caller: asking for an unowned file is one, beside other answers."""
    result = subprocess.run(["dpkg-query", *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    return result.stdout


def parse_alternatives(relation):
    """The names of one relation, such as `a (>= 1) | b:any`, in order."""
    return [re.sub(r"[:\s(\[].*", "", choice.strip()) for choice in relation.split("|")]


def parse_relations(field):
    """A Depends field as a list of lists of alternatives."""
    return [parse_alternatives(relation) for relation in field.split(",") if relation.strip()]


def spellings(path):
    """The names under which a package may own a file: /bin, /lib and /sbin are links to the folders under /usr."""
    names = [path]
    for folder in ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/", "/libx32/"):
        if path.startswith("/usr" + folder):
            names.append(path[len("/usr"):])
        elif path.startswith(folder):
            names.append("/usr" + path)
    return names


class InstalledPackages:
    """The database of dpkg, read once. Recommended packages are left out: not every installation brings them."""

    def __init__(self):
        self.depends = {}
        self.providers = {}
        self.essential = set()
        line_format = "${Package}\t${Essential}\t${Provides}\t${Pre-Depends}, ${Depends}\t${db:Status-Status}\n"
        for line in query("--show", "--showformat", line_format).splitlines():
            package, essential, provides, depends, status = line.split("\t")
            if status != "installed":
                continue
            self.depends[package] = parse_relations(depends)
            if essential == "yes":
                self.essential.add(package)
            for names in parse_relations(provides):
                self.providers.setdefault(names[0], []).append(package)

    def installed_choice(self, alternatives):
        """The package that satisfies a relation here, or None."""
        for name in alternatives:
            if name in self.depends:
                return name
            if name in self.providers:
                return self.providers[name][0]
        return None

    def closure(self, names):
        """These packages and the essential ones, with everything that they depend on."""
        found = set()
        waiting = list(names) + list(self.essential)
        while waiting:
            package = self.installed_choice([waiting.pop()])
            if package is None or package in found:
                continue
            found.add(package)
            for alternatives in self.depends[package]:
                choice = self.installed_choice(alternatives)
                if choice:
                    waiting.append(choice)
        return found

    def files_of(self, packages):
        """All files of these packages, by their real paths."""
        listed = query("--listfiles", *sorted(packages))
        return {os.path.realpath(line) for line in listed.splitlines() if line.startswith("/")}

    def owners(self, paths):
        """A map from each path to the package that owns it, None for a file of nobody."""
        wanted = {}
        for path in paths:
            for name in spellings(path):
                wanted.setdefault(name, set()).add(path)
        owners = dict.fromkeys(paths)
        for line in query("--search", *sorted(wanted)).splitlines():
            packages, separator, name = line.partition(": ")
            if not separator or packages.startswith("diversion "):
                continue
            package = packages.split(",")[0].split(":")[0].strip()
            for path in wanted.get(name, ()):
                owners[path] = package
        return owners
