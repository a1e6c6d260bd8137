//! The pages against the repository: the paths that they name exist, and the glossary has the
//! protocols' keys.

use std::fs;
use std::path::Path;

/// Extensions of the files that the pages name.
const FILE_EXTENSIONS: [&str; 4] = ["rs", "md", "toml", "json"];

/// Files that map names of a protocol to the terms of the code, and the least number of names that each maps.
const FILES_WITH_RENAMED_KEYS: [(&str, usize); 4] = [
    ("src/settings_json/raw.rs", 21),
    ("src/settings_json/proxy.rs", 4),
    ("src/proxy/config.rs", 2),
    ("src/proxy/discovery/wire.rs", 8),
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the text between backticks, outside of code blocks.
fn code_spans(page: &str) -> Vec<&str> {
    let mut spans = Vec::new();
    let mut is_code_block = false;
    for line in page.lines() {
        if line.starts_with("```") {
            is_code_block = !is_code_block;
        } else if !is_code_block {
            spans.extend(line.split('`').skip(1).step_by(2));
        }
    }
    spans
}

/// Returns whether a code span names a file or folder of the repository: it ends like one, or begins in a folder of
/// the root. What begins with a slash is the path of a URL.
fn is_path(span: &str) -> bool {
    if span.starts_with('/') || span.contains(char::is_whitespace) {
        return false;
    }
    let extension = Path::new(span).extension().and_then(|text| text.to_str());
    let has_file_extension = extension.is_some_and(|text| FILE_EXTENSIONS.contains(&text));
    let begins_in_root = span
        .split_once('/')
        .is_some_and(|(first, _)| root().join(first).is_dir());
    has_file_extension || span.ends_with('/') || begins_in_root
}

fn paths(page: &str) -> Vec<&str> {
    let mut paths = code_spans(page);
    paths.retain(|span| is_path(span));
    paths
}

fn missing_paths(page: &str) -> Vec<&str> {
    let mut missing = paths(page);
    missing.retain(|path| !root().join(path).exists());
    missing
}

fn assert_paths_exist(name: &str, page: &str) {
    assert!(!paths(page).is_empty(), "{name} names no path");
    assert_eq!(missing_paths(page), Vec::<&str>::new(), "{name}");
}

/// Returns the part of a page below a heading, up to the next heading of the same level.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let (_, rest) = page
        .split_once(heading)
        .unwrap_or_else(|| panic!("no `{heading}`"));
    rest.split("\n## ").next().unwrap_or(rest)
}

#[test]
fn paths_that_do_not_exist_are_found() {
    let page = "`src/lib.rs`, `src/nowhere.rs`, `src/nowhere/`, `nowhere.md`, `/control/ready`, `EDGE_FD`, `a b/c`\n\
                ```\n`src/in/a/block.rs`\n```\n`docs/nowhere`";
    let expected = [
        "src/nowhere.rs",
        "src/nowhere/",
        "nowhere.md",
        "docs/nowhere",
    ];
    assert_eq!(missing_paths(page), expected);
}

#[test]
fn the_layout_in_the_readme_names_paths_that_exist() {
    let readme = read("README.md");
    assert_paths_exist("README.md", section(&readme, "\n## Layout\n"));
}

#[test]
fn the_design_page_names_paths_that_exist() {
    assert_paths_exist("docs/design.md", &read("docs/design.md"));
}

#[test]
fn the_architecture_page_names_paths_that_exist() {
    assert_paths_exist("docs/ARCHITECTURE.md", &read("docs/ARCHITECTURE.md"));
}

#[test]
fn the_pages_for_operators_name_paths_that_exist() {
    for page in ["docs/bodies.md", "docs/operating.md"] {
        assert_paths_exist(page, &read(page));
    }
}

#[test]
fn the_deploy_file_names_paths_that_exist() {
    let deploy = read("deploy/balancer.toml");
    let paths: Vec<&str> = deploy
        .split('"')
        .filter(|text| text.starts_with("src/"))
        .collect();
    assert!(!paths.is_empty());
    for path in paths {
        assert!(root().join(path).exists(), "{path}");
    }
}

#[test]
fn the_glossary_names_paths_that_exist() {
    assert_paths_exist("docs/GLOSSARY.md", &read("docs/GLOSSARY.md"));
}

#[test]
fn the_glossary_has_every_renamed_key() {
    let glossary = read("docs/GLOSSARY.md");
    let known = code_spans(&glossary);
    for (file, min_keys) in FILES_WITH_RENAMED_KEYS {
        let text = read(file);
        let keys: Vec<&str> = text
            .split("rename = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next())
            .collect();
        assert!(keys.len() >= min_keys, "{file}: {keys:?}");
        for key in keys {
            assert!(
                known.contains(&key),
                "`{key}` of {file} is not in the glossary"
            );
        }
    }
}
