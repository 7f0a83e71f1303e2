//! Checks the line width of the decision module, and that the deploy file lists exactly the files of the
//! module.

use std::path::Path;

/// The largest number of characters in a line.
const MAX_LINE_WIDTH: usize = 110;

/// Returns the paths of all files below a folder, sorted.
fn files_below(folder: &Path) -> Vec<String> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder should be readable") {
        let path = entry.expect("the folder entry should be readable").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path.to_str().expect("the path should be valid UTF-8").to_owned());
        }
    }
    files.sort();
    files
}

/// Returns the paths of all files of the decision module, sorted.
fn decision_files() -> Vec<String> {
    files_below(Path::new("src/decision"))
}

#[test]
fn decision_files_keep_their_line_width() {
    for file in decision_files() {
        let text = std::fs::read_to_string(&file).expect("the file should be readable UTF-8 text");
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{file}:{}: expected at most {MAX_LINE_WIDTH} characters, got {width}",
                index + 1
            );
        }
    }
}

#[test]
fn deploy_file_names_all_decision_files_and_nothing_else() {
    let deploy = std::fs::read_to_string("deploy/balancer.toml")
        .expect("the deploy file should be readable UTF-8 text");
    let policy = deploy
        .lines()
        .find_map(|line| line.strip_prefix("policy = "))
        .expect("the deploy file should have a line `policy = ...`");
    assert_eq!(policy, format!("{:?}", decision_files()));
}
