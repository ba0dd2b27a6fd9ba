"""Tests that `packages` in deploy/system.toml lists every Debian package that a clean build needs: the build command runs with
only the programs of these packages, and each system file that it opens must belong to one of them or of their
dependencies."""
import os, shutil, sys, tempfile, unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import debian_packages
from deploy_build import DeployBuild, files_in_make_rules, read_deploy_file

# A file that each source of opened files must report; otherwise the source no longer works.
EXPECTED_FILES = {
    "compiled_files": "/usr/include/nlohmann/json.hpp",
    "linked_files": "/libevent.a",
    "cmake_files": "/abslConfig.cmake",
    "found_files": "/gmake",
    "pkg_config_files": "/libevent.pc",
    "compiler_programs": "/cc1plus",
    "shared_libraries": "/liblog4cplus-",
}


def owners_of(installed, paths):
    """A map from each file to its package. Links that no package owns, such as alternatives, are omitted: their targets are
    in the map."""
    owners = installed.owners(paths)
    return {path: owner for path, owner in owners.items() if owner or not os.path.islink(path)}


class DeployPackages(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = os.path.realpath(tempfile.mkdtemp())
        cls.addClassCleanup(shutil.rmtree, cls.folder)
        cls.installed = debian_packages.InstalledPackages()
        cls.listed = read_deploy_file()["packages"]
        cls.build = DeployBuild(cls.folder, cls.installed.files_of(cls.installed.closure(cls.listed)))
        cls.exit_code = cls.build.run()
        if cls.exit_code == 0:
            cls.owners = owners_of(cls.installed, cls.build.opened_files())

    def setUp(self):
        self.assertEqual(self.exit_code, 0, self.build.output[-4000:])

    def missing_packages(self, packages):
        """The needed packages that are neither among these nor their dependencies, each with one of its files. The key None
        stands for files that no package owns."""
        covered = self.installed.closure(packages)
        return {owner: path for path, owner in self.owners.items() if owner not in covered}

    def test_every_listed_package_is_installed(self):
        for package in self.listed:
            self.assertIsNotNone(self.installed.installed_choice([package]), package)

    def test_every_opened_file_belongs_to_a_listed_package_or_a_dependency(self):
        self.assertEqual(self.missing_packages(self.listed), {})

    def test_each_source_of_opened_files_reports_an_expected_file(self):
        for source, part in EXPECTED_FILES.items():
            files = getattr(self.build, source)()
            self.assertTrue([path for path in files if part in path], source)

    def test_a_package_removed_from_the_list_is_detected(self):
        for package in self.listed:
            others = [name for name in self.listed if name != package]
            if self.installed.installed_choice([package]) in self.installed.closure(others):
                continue
            with self.subTest(package=package):
                self.assertNotEqual(self.missing_packages(others), {})


class Parsing(unittest.TestCase):
    def test_relations_of_a_control_file(self):
        parsed = debian_packages.parse_relations("gcc-12 (>= 12.2~), libc-dev | libc6-dev:any [amd64], python3:any")
        self.assertEqual(parsed, [["gcc-12"], ["libc-dev", "libc6-dev"], ["python3"]])
        self.assertEqual(debian_packages.parse_relations(" , "), [])

    def test_a_file_under_usr_also_has_its_path_from_before_the_usr_merge(self):
        self.assertEqual(debian_packages.spellings("/usr/lib/x.so"), ["/usr/lib/x.so", "/lib/x.so"])
        self.assertEqual(debian_packages.spellings("/bin/sh"), ["/bin/sh", "/usr/bin/sh"])
        self.assertEqual(debian_packages.spellings("/usr/include/x.h"), ["/usr/include/x.h"])

    def test_make_rules_of_a_compiler(self):
        rules = "x.o: /src/x.cc \\\n /usr/include/a\\ b.h \\\n /usr/include/c.h\n/usr/include/c.h:\n"
        self.assertEqual(files_in_make_rules(rules), {"/src/x.cc", "/usr/include/a b.h", "/usr/include/c.h"})


if __name__ == "__main__":
    unittest.main()
