//! Checks the pages against the repository: the paths that they name exist, and the glossary has every protocol key
//! whose name differs from that of its field in the code.

use std::fs;
use std::path::Path;

/// The extensions by which a code span is recognized as a file.
const FILE_EXTENSIONS: [&str; 4] = ["rs", "md", "toml", "json"];

/// The files that give a field of the code another key in a protocol (`rename`), and the minimum number of such keys in
/// each.
const FILES_WITH_RENAMED_KEYS: [(&str, usize); 4] = [
    ("src/settings_json/raw.rs", 21),
    ("src/settings_json/proxy.rs", 4),
    ("src/proxy/config.rs", 2),
    ("src/proxy/discovery/wire.rs", 8),
];

/// Returns the root folder of the repository.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the text of a file of the repository.
fn read(path: &str) -> String {
    fs::read_to_string(root().join(path))
        .unwrap_or_else(|error| panic!("cannot read {path}: {error}"))
}

/// Returns the texts between backticks outside of code blocks.
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

/// Reports whether a code span names a file or folder of the repository: it has the extension of a file, ends with a
/// slash or begins with a folder of the root. A span that begins with a slash is the path of a URL.
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

/// Returns the paths that a page names.
fn paths(page: &str) -> Vec<&str> {
    let mut paths = code_spans(page);
    paths.retain(|span| is_path(span));
    paths
}

/// Returns the paths that a page names and that do not exist.
fn missing_paths(page: &str) -> Vec<&str> {
    let mut missing = paths(page);
    missing.retain(|path| !root().join(path).exists());
    missing
}

/// Asserts that a page names paths and that each of them exists.
fn assert_paths_exist(name: &str, page: &str) {
    assert!(!paths(page).is_empty(), "{name} names no path");
    assert_eq!(missing_paths(page), Vec::<&str>::new(), "{name}");
}

/// Returns the part of the page `name` from a heading of the second level to the next one.
fn section<'a>(name: &str, page: &'a str, heading: &str) -> &'a str {
    let (_, rest) = page
        .split_once(heading)
        .unwrap_or_else(|| panic!("heading {heading:?} is missing in {name}"));
    rest.split("\n## ").next().unwrap_or(rest)
}

#[test]
fn missing_paths_are_detected_outside_of_code_blocks() {
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
    assert_paths_exist("README.md", section("README.md", &readme, "\n## Layout\n"));
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
fn deploy_balancer_toml_names_paths_that_exist() {
    let deploy = read("deploy/balancer.toml");
    let paths: Vec<&str> = deploy
        .split('"')
        .filter(|text| text.starts_with("src/"))
        .collect();
    assert!(
        !paths.is_empty(),
        "deploy/balancer.toml names no path below src/"
    );
    for path in paths {
        assert!(
            root().join(path).exists(),
            "deploy/balancer.toml names {path}, which does not exist"
        );
    }
}

#[test]
fn the_glossary_names_paths_that_exist() {
    assert_paths_exist("docs/GLOSSARY.md", &read("docs/GLOSSARY.md"));
}

#[test]
fn the_glossary_has_every_protocol_key_that_differs_from_its_field() {
    let glossary = read("docs/GLOSSARY.md");
    let known = code_spans(&glossary);
    for (file, min_keys) in FILES_WITH_RENAMED_KEYS {
        let text = read(file);
        let keys: Vec<&str> = text
            .split("rename = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next())
            .collect();
        assert!(
            keys.len() >= min_keys,
            "{file}: expected at least {min_keys} keys in `rename` attributes, found {keys:?}"
        );
        for key in keys {
            assert!(
                known.contains(&key),
                "`{key}` of {file} is not in the glossary"
            );
        }
    }
}
