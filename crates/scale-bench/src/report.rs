//! How a run's figures are printed: JSON for files, a table for people.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::Args;
use serde::{Deserialize, Serialize};

use crate::error::BenchError;

/// Where figures go.
#[derive(Args, Debug, Clone, Default)]
pub struct Output {
    /// Print JSON in place of the table
    #[arg(long)]
    pub json: bool,
    /// Also write the JSON to this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// One figure of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, the same at every size, such as `cpu_idle`.
    pub name: String,
    /// Its value, in `unit`.
    pub value: f64,
    /// Its unit, such as `us`, `%` or `bytes/s`.
    pub unit: String,
}

/// What one run measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The subcommand.
    pub command: String,
    /// All arguments of the run as given or defaulted, so that it can be made again.
    pub arguments: serde_json::Value,
    /// The figures.
    pub figures: Vec<Figure>,
    /// What has to be known to read them: what share of the fleet was run, what is scaled and how.
    pub notes: Vec<String>,
}

impl Report {
    /// A report without figures yet.
    pub fn new(command: &str, arguments: serde_json::Value) -> Self {
        Report { command: command.into(), arguments, figures: Vec::new(), notes: Vec::new() }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &str) {
        self.figures.push(Figure { name: name.into(), value, unit: unit.into() });
    }

    /// A figure's value.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).map(|figure| figure.value)
    }

    /// Prints the report and writes it to the file, as the arguments say.
    ///
    /// # Errors
    /// If it can't be printed or written.
    pub fn print(&self, output: &Output) -> Result<(), BenchError> {
        print_result(self, &self.table(), output)
    }

    fn table(&self) -> String {
        let width = self.figures.iter().map(|figure| figure.name.len()).max().unwrap_or(0);
        let mut text = format!("{} {}\n", self.command, self.arguments);
        for figure in &self.figures {
            text += &format!("  {:width$}  {:>14.4} {}\n", figure.name, figure.value, figure.unit);
        }
        for note in &self.notes {
            text += &format!("  note: {note}\n");
        }
        text
    }
}

/// Prints a result as JSON or as its table, and writes the JSON to a file, as the arguments say.
///
/// # Errors
/// If it can't be printed or written.
pub fn print_result(result: &impl Serialize, table: &str, output: &Output) -> Result<(), BenchError> {
    let json = serde_json::to_string_pretty(result)
        .map_err(|error| BenchError::System { what: "cannot write the result", source: error.into() })?;
    if let Some(path) = &output.out {
        write(path, &json)?;
    }
    let text = if output.json { &json } else { table };
    writeln!(std::io::stdout(), "{}", text.trim_end())
        .map_err(|source| BenchError::System { what: "cannot print the result", source })
}

fn write(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, format!("{text}\n"))
        .map_err(|source| BenchError::File { path: path.display().to_string(), source })
}
