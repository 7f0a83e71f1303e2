//! The decision module stays small enough to be read in a first week.

/// Most lines that are not blank, over all files, and most characters in one.
const LINES: usize = 1200;
const WIDTH: usize = 110;

/// All files of the decision module.
fn files() -> Vec<String> {
    let mut files = vec![String::from("src/control.rs")];
    let folder = std::fs::read_dir("src/control").expect("the module's folder");
    files.extend(
        folder.map(|entry| format!("src/control/{}", entry.expect("a file").file_name().to_string_lossy())),
    );
    files.sort();
    files
}

#[test]
fn control_keeps_its_line_and_width_limits() {
    let mut lines = 0;
    for file in files() {
        let text = std::fs::read_to_string(&file).expect("a text file");
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= WIDTH, "{file}:{}: {width} characters; {WIDTH} are allowed", n + 1);
        }
    }
    assert!(lines <= LINES, "the module has {lines} lines that are not blank; {LINES} are allowed");
}

#[test]
fn the_deploy_file_names_all_of_control_and_nothing_else() {
    let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let policy =
        deploy.lines().find_map(|line| line.strip_prefix("policy = ")).expect("a line with `policy`");
    assert_eq!(policy, format!("{:?}", files()));
}
