//! The decision module keeps its line width, and the deploy file names all of its files.

use std::path::Path;

/// The most characters in one line.
const MAX_LINE_WIDTH: usize = 110;

/// All files below a folder, sorted by path.
fn files_below(folder: &Path) -> Vec<String> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder of the module") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path.to_str().expect("a path in UTF-8").to_owned());
        }
    }
    files.sort();
    files
}

/// All files of the decision module.
fn decision_files() -> Vec<String> {
    files_below(Path::new("src/decision"))
}

#[test]
fn decision_files_keep_their_line_width() {
    for file in decision_files() {
        let text = std::fs::read_to_string(&file).expect("a text file");
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{file}:{}: {width} characters; {MAX_LINE_WIDTH} are allowed",
                index + 1
            );
        }
    }
}

#[test]
fn deploy_file_names_all_decision_files_and_nothing_else() {
    let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let policy =
        deploy.lines().find_map(|line| line.strip_prefix("policy = ")).expect("a line with `policy`");
    assert_eq!(policy, format!("{:?}", decision_files()));
}
