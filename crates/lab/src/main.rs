//! Owns the command line of the lab. Exit codes: 0 done, 1 failed, 2 wrong use or input.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use linnethook_lab::play::Row;
use linnethook_lab::{compare, experiment, play, plot};

/// Experiments on a model of the fleet, with the shipped decisions and plain ones.
#[derive(Debug, Parser)]
#[command(name = "linnethook-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play an experiment: every variant with every seed
    Run {
        file: PathBuf,
        /// Threads; the rows are the same with any number of them
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Seeds, instead of those of the file
        #[arg(long)]
        seeds: Option<u64>,
        /// Where the rows go, as CSV
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Where the picture goes, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Compare the variants in a file of rows
    Compare { rows: PathBuf },
    /// Check the file of an experiment
    Check { file: PathBuf },
}

enum Failed {
    Input(String),
    Other(String),
}

fn other(wrong: impl std::fmt::Display) -> Failed {
    Failed::Other(wrong.to_string())
}

fn read(file: &Path) -> Result<experiment::Experiment, Failed> {
    let text =
        std::fs::read_to_string(file).map_err(|w| Failed::Input(format!("{}: {w}", file.display())))?;
    experiment::read(&file.display().to_string(), &text).map_err(|wrong| Failed::Input(wrong.to_string()))
}

fn carry_out(command: Command) -> Result<String, Failed> {
    match command {
        Command::Check { file } => {
            let e = read(&file)?;
            Ok(format!("{}: good ({} variants, {} seeds)\n", file.display(), e.variants.len(), e.seeds))
        }
        Command::Run { file, jobs, seeds, out, plot: picture } => {
            let mut experiment = read(&file)?;
            experiment.seeds = seeds.unwrap_or(experiment.seeds);
            let told = |done: usize, all: usize| eprint!("\r{done} of {all} runs");
            let played = play::play(&experiment, jobs, told).map_err(other)?;
            eprintln!();
            let rows: Vec<Row> = played.iter().map(|one| one.row.clone()).collect();
            if let Some(out) = out {
                let mut writer = csv::Writer::from_path(out).map_err(other)?;
                rows.iter().try_for_each(|row| writer.serialize(row)).map_err(other)?;
                writer.flush().map_err(other)?;
            }
            if let Some(picture) = picture {
                let svg = plot::service(&experiment, &played).map_err(other)?;
                std::fs::write(picture, svg).map_err(other)?;
            }
            Ok(compare::table(&rows))
        }
        Command::Compare { rows } => {
            let mut reader = csv::Reader::from_path(rows).map_err(|w| Failed::Input(w.to_string()))?;
            let rows: Result<Vec<Row>, csv::Error> = reader.deserialize().collect();
            Ok(compare::table(&rows.map_err(|w| Failed::Input(w.to_string()))?))
        }
    }
}

fn main() -> ExitCode {
    match carry_out(Cli::parse().command) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(Failed::Input(what)) => {
            eprintln!("{what}");
            ExitCode::from(2)
        }
        Err(Failed::Other(what)) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}
