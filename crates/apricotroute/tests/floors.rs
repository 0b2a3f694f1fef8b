//! Tests that the modules of a crate import each other in one direction only, so that each can be
//! read without the modules that import it.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// The modules of one crate, and the modules that each of them imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Collects the Rust files in a folder and its subfolders.
fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// The name of the module in a file; `None` for the root of a crate.
fn module_name(source: &Path, file: &Path) -> Option<String> {
    let name = file.strip_prefix(source).unwrap().with_extension("");
    let name = name.to_str().unwrap().replace('/', "::");
    let name = name.strip_suffix("::mod").unwrap_or(&name).to_owned();
    (!["lib", "main"].contains(&name.as_str())).then_some(name)
}

/// Appends the paths of a tree of imports, such as `a::{b, c::{self, D}}`, each after `prefix`.
fn flatten(tree: &str, prefix: &str, paths: &mut Vec<String>) {
    let (mut depth, mut from) = (0, 0);
    let mut parts = Vec::new();
    for (at, c) in tree.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&tree[from..at]);
                from = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&tree[from..]);
    for part in parts.into_iter().map(str::trim).filter(|part| !part.is_empty()) {
        match part.split_once('{') {
            Some((before, inner)) => {
                let inner = inner.trim_end().trim_end_matches('}');
                flatten(inner, &format!("{prefix}{before}"), paths);
            }
            None => paths.push(format!("{prefix}{part}")),
        }
    }
}

/// The paths that a file uses after `crate::` or `super::`, relative to the root of the crate.
fn used_paths(text: &str, parent: &str) -> Vec<String> {
    let code: String = text.lines().map(|line| line.split("//").next().unwrap_or("")).collect();
    let mut paths = Vec::new();
    let up = if parent.is_empty() { String::new() } else { format!("{parent}::") };
    for (keyword, prefix) in [("crate::", String::new()), ("super::", up)] {
        for (at, _) in code.match_indices(keyword) {
            let rest = &code[at + keyword.len()..];
            if rest.starts_with('{') {
                let end = rest.find(';').unwrap_or(rest.len());
                flatten(rest[..end].trim().trim_matches(['{', '}']), &prefix, &mut paths);
            } else {
                let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
                let end = rest.find(|c| !is_path(c)).unwrap_or(rest.len());
                let tree = rest[end..].starts_with('{');
                let end = if tree { rest.find(';').unwrap_or(end) } else { end };
                flatten(&rest[..end], &prefix, &mut paths);
            }
        }
    }
    paths
}

/// The imports of all modules below a source folder.
fn imports(source: &Path) -> Imports {
    let mut found = Vec::new();
    rust_files(source, &mut found);
    let texts: BTreeMap<_, _> = found
        .iter()
        .filter_map(|file| Some((module_name(source, file)?, fs::read_to_string(file).unwrap())))
        .collect();
    let edges = |(name, text): (&String, &String)| {
        let parent = name.rsplit_once("::").map_or("", |(parent, _)| parent);
        let module = |path: String| {
            let hits = texts
                .keys()
                .filter(|other| path == **other || path.starts_with(&format!("{other}::")));
            hits.max_by_key(|other| other.len()).cloned()
        };
        let others = used_paths(text, parent).into_iter().filter_map(module);
        (name.clone(), others.filter(|other| other != name).collect())
    };
    texts.iter().map(edges).collect()
}

/// A cycle of imports, if there is one: the path from a module back to itself.
fn find_cycle(imports: &Imports) -> Option<Vec<String>> {
    fn walk(at: &str, path: &mut Vec<String>, done: &mut BTreeSet<String>, all: &Imports) -> bool {
        if let Some(first) = path.iter().position(|name| name == at) {
            path.drain(..first);
            path.push(at.to_owned());
            return true;
        }
        if !done.insert(at.to_owned()) {
            return false;
        }
        path.push(at.to_owned());
        let found = all[at].iter().any(|next| walk(next, path, done, all));
        if !found {
            path.pop();
        }
        found
    }
    let mut done = BTreeSet::new();
    imports.keys().find_map(|name| {
        let mut path = Vec::new();
        walk(name, &mut path, &mut done, imports).then_some(path)
    })
}

#[test]
fn one_direction() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = ["state", "coord", "proto", "link", "dispatch", "apricotroute"];
    let mut sources: Vec<_> = crates.iter().map(|name| root.join("crates").join(name)).collect();
    sources.push(root.join("platform"));
    for source in sources {
        let imports = imports(&source.join("src"));
        assert!(imports.len() > 1, "no modules in {}", source.display());
        if let Some(path) = find_cycle(&imports) {
            panic!("{}: {}", source.display(), path.join(" -> "));
        }
    }
}

/// Layers of the dispatch crate, each of which imports only from those before it.
const LAYERS: [&str; 4] = ["messages", "tables", "decisions", "machines"];

/// An import of a later layer, if there is one: the importing module and the imported one.
fn find_upward(imports: &Imports) -> Option<(String, String)> {
    let layer = |name: &str| {
        let folder = name.split("::").next().unwrap_or("");
        LAYERS.iter().position(|layer| *layer == folder)
    };
    imports.iter().find_map(|(name, used)| {
        let own = layer(name).unwrap_or_else(|| panic!("{name} is in no layer"));
        let up = used.iter().find(|other| layer(other) > Some(own))?;
        Some((name.clone(), up.clone()))
    })
}

#[test]
fn layers_of_dispatch() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../dispatch/src");
    assert_eq!(find_upward(&imports(&source)), None);
    let pair = |name: &str, other: &str| (name.to_owned(), BTreeSet::from([other.to_owned()]));
    let upward = Imports::from([pair("tables::peer", "machines::core")]);
    assert!(find_upward(&upward).is_some(), "an import of a later layer is found");
}

#[test]
fn circles_are_found() {
    // Checks that the helpers of the test above find imports in all forms, and cycles.
    let texts = [
        ("a", "use crate::{b::{self, B}, c};"),
        ("b", "fn f() -> crate::c::C {}"),
        ("c", "// crate::a"),
        ("d::e", "use super::f::{F, G};"),
        ("d::f", "use crate::d::e;"),
    ];
    let parent = |name: &str| name.rsplit_once("::").map_or("", |(up, _)| up).to_owned();
    let find = |at: usize| used_paths(texts[at].1, &parent(texts[at].0));
    assert_eq!(find(0), ["b::self", "b::B", "c"]);
    assert_eq!(find(1), ["c::C"]);
    assert_eq!(find(2), Vec::<String>::new());
    assert_eq!(find(3), ["d::f::F", "d::f::G"]);
    assert_eq!(find(4), ["d::e"]);
    let imports = |pairs: &[(&str, &[&str])]| -> Imports {
        let set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        pairs.iter().map(|(name, names)| ((*name).to_owned(), set(names))).collect()
    };
    let cyclic = imports(&[("a", &["b"]), ("b", &["c"]), ("c", &["b"])]);
    assert_eq!(find_cycle(&cyclic), Some(vec!["b".to_owned(), "c".to_owned(), "b".to_owned()]));
    assert_eq!(find_cycle(&imports(&[("a", &["b", "c"]), ("b", &["c"]), ("c", &[])])), None);
}
