#!/usr/bin/env bash
# Guards against a path of the administration API that docs/openapi.json has
# and the daemon has not, against an answer of another status or type, and
# against a path that the documents leave out or that needs no token.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

vms=()
start "$work/e1" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1
vms+=("$(vm_line e1 "$port" engine batch-model)")
vms+=("$(vm_line vm2 1 entry '')")
start_daemon "${vms[@]}"
await_answer
id=$(call /v1/completions -d '{"model":"batch-model","prompt":"hello","max_tokens":1}' | request_id)
[ -n "$id" ]
python3 - "$root" "http://127.0.0.1:$(operators_port "$work/vm1.log")" "$id" <<'PY'
import json, re, sys, urllib.error, urllib.request

root, daemon, request_id = sys.argv[1:]
api = json.load(open(root + "/docs/openapi.json"))
answers = open(root + "/examples/works/answers.ini", "rb").read()


def fetch(method, path, token):
    request = urllib.request.Request(daemon + path, method=method.upper())
    request.add_header("Authorization", "Bearer " + token)
    if method == "post":
        request.data = answers
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status, json.load(reply)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def resolve(schema):
    while "$ref" in schema:
        schema = api["components"]["schemas"][schema["$ref"].rsplit("/", 1)[1]]
    return schema


TYPES = {"object": dict, "array": list, "string": str, "integer": int,
         "number": (int, float), "boolean": bool}


def check(value, schema, where):
    schema = resolve(schema)
    assert isinstance(value, TYPES[schema["type"]]), (where, value, schema)
    assert "enum" not in schema or value in schema["enum"], (where, value)
    if schema["type"] == "array":
        for each in value:
            check(each, schema["items"], where)
    if schema["type"] == "object":
        for key in schema.get("required", []):
            assert key in value, (where, key)
        if "properties" in schema:
            unknown = set(value) - set(schema["properties"])
            assert not unknown, (where, unknown)
            for key, member in value.items():
                check(member, schema["properties"][key], where + "." + key)


operations = [(method, path, operation) for path, methods in api["paths"].items()
              for method, operation in methods.items()]
# The drain is last, since the daemon ends after it.
operations.sort(key=lambda each: each[1].endswith("/drain"))
for method, path, operation in operations:
    real = path.replace("{id}", request_id)
    assert fetch(method, real, "another")[0] == 401, path
    status, body = fetch(method, real, "operator")
    expected = next(each for each in operation["responses"] if each.startswith("2"))
    assert status == int(expected), (path, status, body)
    schema = operation["responses"][expected]["content"]["application/json"]["schema"]
    check(body, schema, method + " " + path)
    if path.endswith(("/targets", "/peers", "/workspaces", "/answers/preview")):
        assert body, path + " showed nothing"

described = set(re.findall(r"^\| `(GET|POST) (/admin/\S+)`",
                           open(root + "/docs/administration.md").read(), re.M))
specified = {(method.upper(), path) for method, path, _ in operations}
assert described == specified, described ^ specified
print(f"openapi: {len(operations)} operations answered as specified")
PY
