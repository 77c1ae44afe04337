"""Documentation: links have targets, and commands and examples are valid."""

import re
from pathlib import Path

import pytest

from bankrudder.cli import build_parser
from bankrudder.config import check

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\((?!https?:|mailto:|#)([^)#]+)")
MAKE_TARGET = re.compile(r"`make ([a-z-]+)")
COMMAND = re.compile(r"(?:`|^    )bankrudder ([a-z-]+)([^`\n]*)", re.MULTILINE)
OPTION = re.compile(r"--[a-z-]+")


def page_name(page):
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_links_point_to_existing_files(page):
    missing = [
        link
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_make_targets_exist(page):
    makefile = (ROOT / "Makefile").read_text()
    targets = set(MAKE_TARGET.findall(page.read_text()))
    assert [t for t in targets if f"\n{t}:" not in makefile] == []


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_commands_and_their_options_exist(page, capsys):
    text = page.read_text().replace("\\\n", " ")
    for name, options in COMMAND.findall(text):
        with pytest.raises(SystemExit) as exit_info:
            build_parser().parse_args([name, "--help"])
        assert exit_info.value.code == 0, name
        known_options = OPTION.findall(capsys.readouterr().out)
        assert set(OPTION.findall(options)) <= set(known_options), name


def test_the_architecture_page_lists_each_package():
    packages = {path.parent.name for path in ROOT.glob("src/bankrudder/*/__init__.py")}
    _, _, listed = (ROOT / "docs" / "ARCHITECTURE.md").read_text().rpartition("## ")
    assert packages - set(re.findall(r"`(\w+)`", listed)) == set()


def test_the_configuration_in_the_readme_is_valid():
    _, _, rest = (ROOT / "README.md").read_text().partition("```json\n")
    document, _, _ = rest.partition("```")
    assert len(check(document.encode()).callers) == 2
