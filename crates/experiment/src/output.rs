//! Files and tables of an experiment.

use std::fs::File;
use std::path::Path;

use crate::error::ExperimentError;
use crate::plot;
use crate::summary::{Cell, Goal, Summary};

const PLOTTED: [(&str, &str); 5] = [
    ("latency_p95", "program latency p95, seconds"),
    ("missed_deadlines", "part of deadlines missed"),
    ("prefilled_again", "tokens prefilled again for each program"),
    (
        "held_in_vain",
        "token-seconds held in vain for each program",
    ),
    ("urgent_wait_p99", "urgent wait p99, milliseconds"),
];
const COLUMNS: [&str; 10] = [
    "latency_p50",
    "latency_p95",
    "latency_p99",
    "alone_p95",
    "refused",
    "missed_deadlines",
    "prefilled_again",
    "held_in_vain",
    "urgent_wait_p99",
    "share_error",
];

/// Writes `figures.csv`, `summary.json` and the plots.
pub fn write(directory: &Path, summary: &Summary) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(directory).map_err(|cause| file_error(directory, cause))?;
    write_table(&directory.join("figures.csv"), &summary.cells)?;
    let path = directory.join("summary.json");
    let file = File::create(&path).map_err(|cause| file_error(&path, cause))?;
    serde_json::to_writer_pretty(file, summary).map_err(ExperimentError::Summary)?;
    for preset in presets(&summary.cells) {
        for (figure, title) in PLOTTED {
            let path = directory.join(format!("{preset}-{figure}.svg"));
            let title = format!("{preset}: {title}");
            plot::figure_by_load(&path, &title, figure, &cells_of(summary, &preset))?;
        }
    }
    Ok(())
}

fn cells_of<'a>(summary: &'a Summary, preset: &str) -> Vec<&'a Cell> {
    let cells = summary.cells.iter();
    cells.filter(|cell| cell.preset == preset).collect()
}

fn presets(cells: &[Cell]) -> Vec<String> {
    let mut presets: Vec<String> = cells.iter().map(|cell| cell.preset.clone()).collect();
    presets.dedup();
    presets
}

fn file_error(path: &Path, cause: std::io::Error) -> ExperimentError {
    ExperimentError::File {
        path: path.to_owned(),
        cause,
    }
}

fn write_table(path: &Path, cells: &[Cell]) -> Result<(), ExperimentError> {
    let mut table = csv::Writer::from_path(path).map_err(ExperimentError::Table)?;
    let header = [
        "preset",
        "offered_load",
        "policy",
        "figure",
        "mean",
        "half_width",
        "seeds",
    ];
    table.write_record(header).map_err(ExperimentError::Table)?;
    for cell in cells {
        for figure in &cell.figures {
            let row = (
                &cell.preset,
                cell.offered_load,
                &cell.policy,
                figure.name,
                figure.estimate.mean,
                figure.estimate.half_width,
                figure.estimate.seeds,
            );
            table.serialize(row).map_err(ExperimentError::Table)?;
        }
    }
    table.flush().map_err(|cause| file_error(path, cause))
}

/// Prints the table and the goals.
pub fn print(summary: &Summary) {
    print!("{:<13} {:>4} {:<26}", "preset", "load", "policy");
    for column in COLUMNS {
        print!(" {column:>19}");
    }
    println!();
    for cell in &summary.cells {
        print!(
            "{:<13} {:>4} {:<26}",
            cell.preset, cell.offered_load, cell.policy
        );
        for column in COLUMNS {
            print!(" {:>19}", shown(cell, column));
        }
        println!();
    }
    println!();
    for goal in &summary.goals {
        print_goal(goal);
    }
}

fn shown(cell: &Cell, column: &str) -> String {
    let figure = cell.figures.iter().find(|figure| figure.name == column);
    let estimate = figure.map(|figure| figure.estimate);
    let Some(mean) = estimate.and_then(|estimate| estimate.mean) else {
        return "-".to_owned();
    };
    match estimate.and_then(|estimate| estimate.half_width) {
        Some(half_width) => format!("{mean:.2} ±{half_width:.2}"),
        None => format!("{mean:.2}"),
    }
}

fn print_goal(goal: &Goal) {
    let verdict = if goal.met { "met   " } else { "MISSED" };
    println!(
        "{verdict} {:<13} load {:<4} {}: {:.3} (bound {:.3})",
        goal.preset, goal.offered_load, goal.goal, goal.measured, goal.bound
    );
}
