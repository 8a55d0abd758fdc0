//! The order of imports: how large the largest circle of `src/serving` is, and that
//! `src/serving/workspaces` imports nothing above it.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, path,
};

/// Modules in the largest circle of imports of `src/serving`; only ever lowered.
const MOST_IN_CIRCLE: usize = 10;

/// Modules by name, with the names that each one imports.
type ImportGraph = BTreeMap<String, BTreeSet<String>>;

/// Sources below a folder, by path.
fn sources(folder: &path::Path) -> Vec<(path::PathBuf, String)> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).expect("the file is text");
            found.push((path, without_comments(&text)));
        }
    }
    found
}

fn without_comments(text: &str) -> String {
    let code = text
        .lines()
        .map(|line| line.split("//").next().unwrap_or(line));
    code.collect::<Vec<_>>().join("\n")
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// The first words of the paths that follow a prefix such as `super::`, in groups too.
fn names_after(text: &str, prefix: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (at, _) in text.match_indices(prefix) {
        let is_longer = text[..at].ends_with(|c| is_word(c) || c == ':');
        if is_longer {
            continue;
        }
        let rest = &text[at + prefix.len()..];
        match rest.strip_prefix('{') {
            Some(group) => names.extend(first_words(group)),
            None => drop(names.insert(rest.chars().take_while(|c| is_word(*c)).collect())),
        }
    }
    names
}

/// The first word of each entry of a group of imports, up to its closing brace.
fn first_words(group: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut depth = 0;
    let mut in_path = false;
    for c in group.chars() {
        match c {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                words.push(String::new());
                in_path = false;
            }
            ':' => in_path = true,
            c if depth == 0 && !in_path && is_word(c) => words.last_mut().expect("one").push(c),
            _ => {}
        }
    }
    words
}

/// The imports among the modules of `src/serving`; a folder counts as one module.
fn serving_imports() -> ImportGraph {
    let top = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/serving");
    let mut graph = ImportGraph::new();
    for (file, text) in sources(&top) {
        let inside = file.strip_prefix(&top).expect("it is below the folder");
        let first = inside.components().next().expect("it has a name");
        let first = first.as_os_str().to_str().expect("the name is text");
        let module = first.trim_end_matches(".rs").to_owned();
        if module == "mod" {
            continue;
        }
        let is_module_root = inside.ends_with("mod.rs");
        let prefix = match (inside.components().count(), is_module_root) {
            (1, _) | (2, true) => "super::",
            _ => "super::super::",
        };
        let names = graph.entry(module).or_default();
        names.extend(names_after(&text, prefix));
        names.extend(names_after(&text, "crate::serving::"));
    }
    let known: BTreeSet<_> = graph.keys().cloned().collect();
    for (module, names) in &mut graph {
        names.retain(|name| known.contains(name) && name != module);
    }
    graph
}

fn reachable(graph: &ImportGraph, from: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut open = vec![from.to_owned()];
    while let Some(module) = open.pop() {
        for name in &graph[&module] {
            if found.insert(name.clone()) {
                open.push(name.clone());
            }
        }
    }
    found
}

/// The largest set of modules that all import each other, directly or not.
fn largest_circle(graph: &ImportGraph) -> BTreeSet<String> {
    let reached: BTreeMap<_, _> = graph.keys().map(|m| (m, reachable(graph, m))).collect();
    let circles = reached.iter().map(|(module, others)| {
        let mutual = others
            .iter()
            .filter(|other| reached[other].contains(*module));
        mutual.cloned().collect::<BTreeSet<_>>()
    });
    circles.max_by_key(BTreeSet::len).unwrap_or_default()
}

#[test]
fn the_largest_circle_of_imports_only_shrinks() {
    let circle = largest_circle(&serving_imports());
    assert!(
        circle.len() <= MOST_IN_CIRCLE,
        "{} modules import each other: {circle:?}",
        circle.len()
    );
}

#[test]
fn a_circle_that_is_put_in_is_found() {
    let mut graph = serving_imports();
    let before = largest_circle(&graph).len();
    // `wire` imports nothing of the circle; now it imports who imports it.
    graph
        .get_mut("wire")
        .expect("the module is there")
        .insert("context".into());
    assert!(largest_circle(&graph).len() > before);
}

#[test]
fn workspaces_import_nothing_above_them() {
    let graph = serving_imports();
    if let Some(names) = graph.get("workspaces") {
        assert!(names.is_empty(), "workspaces import {names:?}");
    }
    let top = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/decisions");
    for (file, text) in sources(&top) {
        assert!(
            !text.contains("serving::"),
            "{} imports serving",
            file.display()
        );
    }
}
