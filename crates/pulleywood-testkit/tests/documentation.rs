//! Checks that the files, folders, functions, types and tests that the documentation names
//! exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages of the documentation that are checked.
const PAGES: &[&str] = &[
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/glossary.md",
    "docs/operations.md",
    "docs/recovery.md",
    "docs/recovery-operations.md",
];

/// Files that a page may name although a checkout does not always have them.
const OPTIONAL_FILES: &[&str] = &["KNOWN-RED.txt"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The paths and names in the repository to which a page may refer.
struct Repository {
    root: PathBuf,
    /// All words of the sources, scripts and settings in `crates/` and `deploy/`.
    words: BTreeSet<String>,
}

impl Repository {
    fn read() -> Repository {
        let root = root();
        let mut words = BTreeSet::new();
        for folder in ["crates", "deploy"] {
            collect_words(&root.join(folder), &mut words);
        }
        Repository { root, words }
    }

    /// Whether a path exists, relative to the root, to `crates/`, to the sources of the controller
    /// or the scheduler, or to the folder of the page.
    fn has_path(&self, path: &str, page: &str) -> bool {
        let page = Path::new(page).parent().unwrap_or(Path::new(""));
        let folders = [
            Path::new(""),
            Path::new("crates"),
            Path::new("crates/pulleywood-controller/src"),
            Path::new("crates/pulleywood-scheduler/src"),
            page,
        ];
        OPTIONAL_FILES.contains(&path)
            || folders
                .iter()
                .any(|folder| self.root.join(folder).join(path).exists())
    }

    /// Whether a name exists; `name…` stands for any name with that prefix.
    fn has_name(&self, name: &str) -> bool {
        match name.strip_suffix('…') {
            None => self.words.contains(name),
            Some(prefix) => {
                let mut from = self.words.range(prefix.to_owned()..);
                from.next().is_some_and(|word| word.starts_with(prefix))
            }
        }
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

fn collect_words(path: &Path, words: &mut BTreeSet<String>) {
    if path.is_dir() {
        for entry in std::fs::read_dir(path).unwrap() {
            collect_words(&entry.unwrap().path(), words);
        }
        return;
    }
    // The names in the tests below that must not exist would otherwise be found in this file.
    let is_this_file = path.file_name() == Path::new(file!()).file_name();
    let is_source = path
        .extension()
        .is_some_and(|extension| extension == "rs" || extension == "lua" || extension == "toml");
    if is_source && !is_this_file {
        let text = std::fs::read_to_string(path).unwrap();
        words.extend(text.split(|c| !is_name_char(c)).map(str::to_owned));
    }
}

/// The texts between backticks on each line, except on lines of indented code blocks.
fn code_spans(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("    "));
    lines
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// Targets of the links to files of the repository, without fragments.
fn links(text: &str) -> Vec<&str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    let local_targets =
        targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    local_targets
        .map(|target| target.split('#').next().unwrap_or(target))
        .collect()
}

fn is_path(span: &str) -> bool {
    let is_file_name = [".rs", ".md", ".toml", ".lua", ".txt"]
        .iter()
        .any(|extension| span.ends_with(extension));
    let has_path_chars = span.chars().all(|c| is_name_char(c) || "./-".contains(c));
    has_path_chars
        && (is_file_name
            || (span.ends_with('/') && !span.starts_with("c/") && !span.starts_with("closed/")))
}

/// The names of functions, types and tests in a code span: `like_this`, `LikeThis`,
/// `module::like_this` or `the_beginning_of…`.
fn names(span: &str) -> Vec<&str> {
    let is_plain = |c: char| is_name_char(c) || c == ':' || c == '…';
    if !span.chars().all(is_plain) || span.starts_with(|c: char| c.is_ascii_digit()) {
        return Vec::new();
    }
    let is_name = |name: &&str| {
        let is_camel_case = name.chars().skip(1).any(|c| c.is_ascii_uppercase())
            && name.chars().any(|c| c.is_ascii_lowercase());
        is_camel_case || name.contains('_') || span.contains("::")
    };
    span.split("::")
        .filter(|name| !name.is_empty())
        .filter(is_name)
        .collect()
}

/// The links, paths and names on a page that do not exist in the repository, each described by
/// one line.
fn missing_names(page: &str, text: &str, repository: &Repository) -> Vec<String> {
    let mut findings = Vec::new();
    for link in links(text) {
        if !repository.has_path(link, page) {
            findings.push(format!("{page}: link to {link}"));
        }
    }
    for span in code_spans(text) {
        if is_path(span) {
            if !repository.has_path(span, page) {
                findings.push(format!("{page}: path {span}"));
            }
            continue;
        }
        for name in names(span) {
            if !repository.has_name(name) {
                findings.push(format!("{page}: name {name}"));
            }
        }
    }
    findings
}

#[test]
fn every_path_and_name_on_the_pages_exists() {
    let repository = Repository::read();
    let mut findings = Vec::new();
    for page in PAGES {
        let text = std::fs::read_to_string(root().join(page)).unwrap();
        findings.extend(missing_names(page, &text, &repository));
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

#[test]
fn missing_paths_and_names_on_a_page_are_reported() {
    let repository = Repository::read();
    let cases = [
        ("[x](no-such-page.md)", "link to no-such-page.md"),
        (
            "see `pulleywood-scheduler/src/no_such.rs`",
            "path pulleywood-scheduler/src/no_such.rs",
        ),
        (
            "in `pulleywood-scheduler/src/no_such/`",
            "path pulleywood-scheduler/src/no_such/",
        ),
        ("by `no_such_function`", "name no_such_function"),
        ("by `NoSuchType`", "name NoSuchType"),
        ("by `ShardState::nosuchmethod`", "name nosuchmethod"),
        ("shown by `no_such_test…`", "name no_such_test…"),
    ];
    for (text, finding) in cases {
        let findings = missing_names("docs/architecture.md", text, &repository);
        assert_eq!(
            findings,
            [format!("docs/architecture.md: {finding}")],
            "{text}"
        );
    }
    for text in [
        "[x](design.md#terms) and [y](https://example.org/z)",
        "`pulleywood-scheduler/src/shard/` and `README.md`",
        "`ShardState`, `ShardState::digest`, `config`, `every_recorded_value…`",
        "`c/part/P`, `cluster.state.rps`, `LOG_LEVEL`",
    ] {
        assert!(
            missing_names("docs/architecture.md", text, &repository).is_empty(),
            "{text}"
        );
    }
}
