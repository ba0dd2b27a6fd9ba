"""Queries the installed Debian packages through dpkg-query: which package owns a file, and which packages a list of packages
depends on. It installs and downloads nothing."""
import os, re, subprocess


def query(*arguments):
    """Output of dpkg-query. Its exit code is ignored: it also fails if only some of the queried files have no owner."""
    result = subprocess.run(["dpkg-query", *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    return result.stdout


def parse_alternatives(relation):
    """The package names of one relation, such as `a (>= 1) | b:any`, in order."""
    return [re.sub(r"[:\s(\[].*", "", choice.strip()) for choice in relation.split("|")]


def parse_relations(field):
    """A Depends field as a list of lists of alternatives."""
    return [parse_alternatives(relation) for relation in field.split(",") if relation.strip()]


def spellings(path):
    """The paths under which a package may list a file, since /bin, /lib and /sbin are links to the folders under /usr."""
    names = [path]
    for folder in ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/", "/libx32/"):
        if path.startswith("/usr" + folder):
            names.append(path[len("/usr"):])
        elif path.startswith(folder):
            names.append("/usr" + path)
    return names


class InstalledPackages:
    """The database of dpkg, read once. Recommended packages are ignored, since not every installation includes them."""

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
        """The installed package that satisfies a relation, or None."""
        for name in alternatives:
            if name in self.depends:
                return name
            if name in self.providers:
                return self.providers[name][0]
        return None

    def closure(self, names):
        """These packages and the essential ones, with everything that they depend on."""
        found = set()
        pending = list(names) + list(self.essential)
        while pending:
            package = self.installed_choice([pending.pop()])
            if package is None or package in found:
                continue
            found.add(package)
            for alternatives in self.depends[package]:
                choice = self.installed_choice(alternatives)
                if choice:
                    pending.append(choice)
        return found

    def files_of(self, packages):
        """All files of these packages, by their real paths."""
        listed = query("--listfiles", *sorted(packages))
        return {os.path.realpath(line) for line in listed.splitlines() if line.startswith("/")}

    def owners(self, paths):
        """A map from each path to the package that owns it; None for a file that no package owns."""
        paths_by_name = {}
        for path in paths:
            for name in spellings(path):
                paths_by_name.setdefault(name, set()).add(path)
        owners = dict.fromkeys(paths)
        for line in query("--search", *sorted(paths_by_name)).splitlines():
            packages, separator, name = line.partition(": ")
            if not separator or packages.startswith("diversion "):
                continue
            package = packages.split(",")[0].split(":")[0].strip()
            for path in paths_by_name.get(name, ()):
                owners[path] = package
        return owners
