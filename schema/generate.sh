#!/usr/bin/env bash
# Makes the generated code again from the schemas. The build does not need it.
# Needs cargo-typify 0.6, capnproto and capnpc on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in schema/*.json; do
    name=$(basename "$schema" .json)
    out=src/generated/$name.rs
    cargo typify --builder --additional-derive PartialEq \
        --map-type indexmap::IndexMap --output "$out" "$schema"
    # The schema stands in schema/, so its copies in the comments are left out.
    awk '/<details>/ { skip = 1 } !skip { print } /<\/details>/ { skip = 0 }' "$out" > "$out.new"
    mv "$out.new" "$out"
    # typify fills an object whose default is {} with zeros; the defaults of its fields are meant.
    perl -0pi -e 's/(pub\(super\) fn \w+\(\) -> super::\w+ \{\s*)super::\w+ \{[^{}]*\}/${1}Default::default()/g' "$out"
    sha256sum "$schema" | cut -d ' ' -f 1 > "src/generated/$name.digest"
    rustfmt --edition 2024 "$out"
done
for schema in schema/*.capnp; do
    [ -e "$schema" ] || continue
    name=$(basename "$schema" .capnp)
    capnp compile --src-prefix=schema -orust:src/generated "$schema"
    sed -i "s/crate::${name}_capnp/crate::generated::${name}_capnp/g" "src/generated/${name}_capnp.rs"
    sha256sum "$schema" | cut -d ' ' -f 1 > "src/generated/${name}_capnp.digest"
    rustfmt --edition 2024 "src/generated/${name}_capnp.rs"
done
