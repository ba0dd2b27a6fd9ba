"""Tests tools/check-glossary: it reads the withdrawn terms from the glossary and must report them as words of identifiers, and
nowhere else."""
import os, subprocess, sys, tempfile, unittest

TOOL = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools", "check-glossary")
PAGE = """# Glossary

| term | meaning | file |
|---|---|---|
| kept | a term in use | `src/a/kept.h` |

## Withdrawn terms

| withdrawn | now |
|---|---|
| `visit` | request |
| `gift` | grant |

## To be withdrawn

| `door` | proxy |
"""


class CheckGlossary(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = folder.name

    def write(self, name, text):
        path = os.path.join(self.root, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w") as out:
            out.write(text)

    def check(self, source, page=PAGE, name="src/a/b.cc"):
        self.write("docs/glossary.md", page)
        self.write("src/a/kept.h", "int kept;\n")
        self.write(name, source)
        return subprocess.run([sys.executable, TOOL, self.root], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                              text=True)

    def test_sources_without_withdrawn_terms_pass(self):
        result = self.check("int door = kept + visitor + revisit + shift;\n")
        self.assertEqual(result.returncode, 0, result.stdout)
        self.assertIn("2 withdrawn terms", result.stdout)

    def test_names_are_split_into_words_in_every_letter_case(self):
        for name in ("visit", "http_visit", "visits", "HttpVisit", "visitPage", "MOST_VISITS", "visit2", "Gift"):
            result = self.check("int good;\nint %s;\n" % name)
            self.assertEqual(result.returncode, 1, name)
            self.assertEqual(result.stdout, "src/a/b.cc:2: %s\n" % name)

    def test_headers_and_the_adapter_are_checked(self):
        for path in ("src/a/b.h", "platform/c.cc"):
            self.assertIn(path + ":1: gift", self.check("int gift;", name=path).stdout)
            os.remove(os.path.join(self.root, path))

    def test_names_of_the_standard_library_are_allowed(self):
        self.assertEqual(self.check("auto x = std::visit(each, one);\n").returncode, 0)
        self.assertEqual(self.check("auto x = our::visit(each, one);\n").returncode, 1)

    def test_a_word_kept_on_the_wire_is_allowed_in_its_literal_only(self):
        page = PAGE.replace("## Withdrawn", "## Kept on the wire\n\n| word | where |\n|---|---|\n"
                            "| `visit_ask`, `/v1/gift` | messages, `visit` |\n\n## Withdrawn")
        self.assertEqual(self.check('auto kind = "visit_ask"; path("/v1/gift");\n', page).returncode, 0)
        for source in ("int visit_ask;", 'auto x = "visit";', 'f("a", visit_ask, "b");', 'f("visit_answer");'):
            self.assertEqual(self.check(source + "\n", page).returncode, 1, source)

    def test_a_named_file_must_exist(self):
        result = self.check("int good;\n", PAGE.replace("src/a/kept.h", "src/a/gone.h"))
        self.assertEqual(result.returncode, 1)
        self.assertEqual(result.stdout, "docs/glossary.md: no such file: src/a/gone.h\n")

    def test_a_page_without_a_list_fails(self):
        for page in ("# Glossary\n", "## Withdrawn terms\n\nnone\n\n## Later\n\n| `visit` | request |\n"):
            result = self.check("int good;\n", page)
            self.assertEqual(result.returncode, 2, result.stdout)


if __name__ == "__main__":
    unittest.main()
