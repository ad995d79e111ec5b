"""Replays the commands of docs/tutorial.md in one shell and compares their output with the page.

usage: replay_tutorial.py PROGRAMS PAGE [--update]

A block of the page that begins with ```console has commands after `$ ` (a line that ends with a backslash goes on
in the next one) and the output of each below it. --update writes the output of this run into the page.
"""
import os
import re
import subprocess
import sys
import tempfile

# What differs from run to run: addresses, ids and incarnations, measured and predicted times.
VOLATILE = [(r"127\.0\.0\.1:\d+", "ADDRESS"), (r"\b[0-9a-f]{12,}-[0-9a-f]+\b", "ID"), (r"\b\d{15,}\b", "INCARNATION"),
            (r"take \d+ ms", "take TIME ms"), (r"\b\d+\.\d+\b", "NUMBER"), (r"[ \t]+", " "), (r" \n", "\n")]


def stable(text):
    for pattern, replacement in VOLATILE:
        text = re.sub(pattern, replacement, text)
    return text.strip()


def parse_page(lines):
    """Gives (first line, line after the command, line after its output, command) for each command."""
    commands, at, inside = [], 0, False
    while at < len(lines):
        line = lines[at]
        if line.startswith("```"):
            inside = line.strip() == "```console"
        if inside and line.startswith("$ "):
            first, command = at, line[2:]
            while command.endswith("\\\n"):
                at += 1
                command += lines[at]
            end = at + 1
            while not lines[end].startswith(("$ ", "```")):
                end += 1
            commands.append((first, at + 1, end, command))
            at = end - 1
        at += 1
    return commands


def main():
    programs, page = os.path.abspath(sys.argv[1]), sys.argv[2]
    root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
    with open(page) as file:
        lines = file.readlines()
    commands = parse_page(lines)
    assert commands, "the page has no commands"
    script = ["trap 'kill $(jobs -p) 2>/dev/null; wait' EXIT\n"]
    for index, (_, _, _, command) in enumerate(commands):
        script.append(f"echo '@@{index}'\n{command}")
    with tempfile.TemporaryDirectory() as work:
        environment = dict(os.environ, PATH=programs + ":" + os.environ["PATH"], acaciaferry=root)
        run = subprocess.run(["bash", "-c", "".join(script)], cwd=work, env=environment, text=True,
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=100)
    seen = re.split(r"^@@\d+\n", run.stdout, flags=re.M)[1:]
    assert len(seen) == len(commands), run.stdout
    if "--update" in sys.argv:
        for (_, start, end, _), output in reversed(list(zip(commands, seen))):
            lines[start:end] = output.splitlines(keepends=True)
        with open(page, "w") as file:
            file.writelines(lines)
        return 0
    failed = 0
    for (first, start, end, command), output in zip(commands, seen):
        expected = "".join(lines[start:end])
        if stable(expected) != stable(output):
            failed += 1
            print(f"line {first + 1}: {command}expected:\n{expected}got:\n{output}")
    print(f"tutorial: {len(commands) - failed} of {len(commands)} commands gave the output of the page")
    return 1 if failed else 0


sys.exit(main())
