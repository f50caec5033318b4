//! Owns the command line of the lab. Exit codes: 0 done, 1 failed or stopped, 2 wrong use or input.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use linnethook_lab::experiment::{Case, Experiment};
use linnethook_lab::hunt::{Hunt, Prey};
use linnethook_lab::load::Clients;
use linnethook_lab::rows::{self, Header, Row, Rows};
use linnethook_lab::scale::{self, page};
use linnethook_lab::{compare, experiment, faults, play, plot, report, settings, sockets};
use linnethook_model::simulation::Simulation;

/// Experiments on a model of the fleet, with the shipped decisions and plain ones.
#[derive(Debug, Parser)]
#[command(name = "linnethook-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Args)]
struct Playing {
    file: PathBuf,
    /// Threads; the rows are the same with any number of them
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Seeds, instead of those of the file
    #[arg(long)]
    seeds: Option<u64>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play an experiment: every variant with every seed
    Run {
        #[command(flatten)]
        playing: Playing,
        /// Where the rows go, as lines of JSON; one that is there already is gone on with
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Play an experiment that sweeps a setting; what the file of rows has already is not played again
    Sweep {
        #[command(flatten)]
        playing: Playing,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Compare the variants in a file of rows
    Compare {
        rows: PathBuf,
        /// Rows of the same experiment by an earlier build: each variant is compared with what it was
        #[arg(long, value_name = "ROWS")]
        before: Option<PathBuf>,
    },
    /// Draw the pictures of a file of rows, as SVG into a folder or as one page of HTML
    Plot {
        rows: PathBuf,
        #[arg(long, value_name = "FOLDER", required_unless_present = "html")]
        svg: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Play one seed again, twice, and say whether both are alike, what befell it and which rules broke
    Replay {
        file: PathBuf,
        seed: u64,
        /// Which variant; the first where none is named
        #[arg(long)]
        variant: Option<String>,
        /// The value of the setting that is swept
        #[arg(long)]
        point: Option<f64>,
        /// Where its record goes, as lines of JSON
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Look for the worst day, or one that breaks a rule, and shrink it to a short script
    Hunt {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "rule")]
        find: Find,
        /// Seeds, as FIRST..LAST
        #[arg(long, default_value = "1..200", value_parser = span)]
        seeds: (u64, u64),
        /// Troubles of each day
        #[arg(long, default_value_t = 6)]
        troubles: usize,
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Where the script goes, instead of the standard output
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Drive real routers on loopback by the first variant's load, in an open loop; without --router with a fleet of
    /// stand-ins of its own, so that the day can be compared with the model's
    Load {
        file: PathBuf,
        /// Routers that run already
        #[arg(long, value_name = "ADDRESS")]
        router: Vec<SocketAddr>,
        /// The router's program, for a fleet of stand-ins; the one beside this program where none is named
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Where the row goes, and that of the model for the same plan
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Fleets of rising size: what each router says, hears, keeps and takes of the processor, with slopes
    Scale(scale::Options),
    /// Check the file of an experiment
    Check { file: PathBuf },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Find {
    Rule,
    Worst,
}

fn span(text: &str) -> Result<(u64, u64), String> {
    let wrong = || format!("expected FIRST..LAST, got {text:?}");
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let (first, last) = (first.parse().map_err(|_| wrong())?, last.parse().map_err(|_| wrong())?);
    if first <= last {
        Ok((first, last))
    } else {
        Err(wrong())
    }
}

enum Failed {
    Input(String),
    Other(String),
}

fn other(wrong: impl std::fmt::Display) -> Failed {
    Failed::Other(wrong.to_string())
}

fn input(wrong: impl std::fmt::Display) -> Failed {
    Failed::Input(wrong.to_string())
}

fn read(file: &Path) -> Result<Experiment, Failed> {
    let text = std::fs::read_to_string(file).map_err(|w| input(format!("{}: {w}", file.display())))?;
    experiment::read(&file.display().to_string(), &text).map_err(input)
}

/// Set by the first interrupt.
fn interrupted() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let seen = stop.clone();
    // Where no handler can be had an interrupt ends the program, as everywhere.
    let _ = ctrlc::set_handler(move || seen.store(true, Ordering::Release));
    stop
}

fn bar(length: usize, done: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos} of {len} runs, {eta} left") {
        bar.set_style(style);
    }
    bar.set_position(done as u64);
    bar
}

fn run(playing: &Playing, out: Option<&Path>) -> Result<String, Failed> {
    let mut experiment = read(&playing.file)?;
    experiment.seeds = playing.seeds.unwrap_or(experiment.seeds);
    let cases = experiment.cases();
    let header = Header::new(&experiment).map_err(other)?;
    let (mut file, mut all) = match out {
        None => (None, Vec::new()),
        Some(out) => Rows::open(out, &header).map(|(file, rows)| (Some(file), rows)).map_err(input)?,
    };
    let left = rows::left(&cases, &all);
    let stop = interrupted();
    let bar = bar(cases.len(), cases.len() - left.len());
    play::play(&left, experiment.judged, playing.jobs, &stop, |row| {
        if let Some(file) = &mut file {
            file.add(&row)?;
        }
        all.push(row);
        bar.inc(1);
        Ok(())
    })
    .map_err(other)?;
    bar.finish_and_clear();
    let whole = all.iter().filter(|row| cases.iter().any(|case| row.seed == case.plan.seed)).count();
    let text = compare::table(&rows::sorted(&cases, all), header.setting.as_deref());
    if whole < cases.len() {
        return Err(Failed::Other(format!("{text}stopped with {whole} of {} runs", cases.len())));
    }
    Ok(text)
}

fn replay(
    file: &Path,
    seed: u64,
    (variant, point): (Option<&str>, Option<f64>),
    record: Option<&Path>,
) -> Result<String, Failed> {
    let mut experiment = read(file)?;
    (experiment.first, experiment.seeds) = (seed, 1);
    let cases = experiment.cases();
    let fits = |case: &&Case| {
        variant.is_none_or(|name| name == case.variant) && point.is_none_or(|point| case.point == Some(point))
    };
    let case = cases.iter().find(fits).ok_or_else(|| input("there is no such variant or point"))?;
    let noted = || Simulation::run_recorded(case.plan.clone()).map_err(|wrong| other(wrong.0));
    let (one, two) = (noted()?, noted()?);
    let (_, breaches) = Simulation::run_checked(case.plan.clone()).map_err(|wrong| other(wrong.0))?;
    let lines: Result<Vec<String>, _> = one.1.iter().map(serde_json::to_string).collect();
    let text = lines.map_err(other)?.join("\n");
    if let Some(record) = record {
        std::fs::write(record, &text).map_err(other)?;
    }
    let mark = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    let mut out = format!("{} with seed {seed}: record {mark:016x}, {} lines, ", case.variant, one.1.len());
    out += if one == two { "alike both times\n" } else { "NOT alike both times\n" };
    for (at, fault) in &case.plan.faults {
        out += &format!("{at:>9.3} s  {}\n", faults::told(fault));
    }
    out += &compare::table(&[Row::new(case, &one.0, Some(breaches.len() as u64))], None);
    breaches.iter().take(20).for_each(|breach| out += &format!("{breach}\n"));
    if one == two {
        Ok(out)
    } else {
        Err(Failed::Other(out))
    }
}

fn load(
    file: &Path,
    routers: &[SocketAddr],
    program: Option<&Path>,
    out: Option<&Path>,
) -> Result<String, Failed> {
    let experiment = read(file)?;
    let cases = experiment.cases();
    let plan = &cases[0].plan;
    let stop = interrupted();
    let mut rows = Vec::new();
    let case = |variant: &str| Case { variant: variant.to_string(), ..cases[0].clone() };
    if routers.is_empty() {
        sockets::check(plan).map_err(input)?;
        let program = linnethook_testbed::process_cluster::router_program(program).map_err(input)?;
        let (seen, breaches) = sockets::play(plan, &program, &stop).map_err(other)?;
        breaches.iter().take(10).for_each(|breach| eprintln!("{breach}"));
        rows.push(Row::new(&case("sockets"), &seen, Some(breaches.len() as u64)));
        rows.push(play::row(&case("model"), true).map_err(other)?);
    } else {
        let named = routers.iter().enumerate().map(|(n, address)| (format!("n{n}"), *address));
        let named: Vec<_> = named.collect();
        let clients = Clients {
            plan,
            routers: &named,
            connections: 8,
            record: Default::default(),
            numbers: Default::default(),
        };
        let seen = clients.drive(&stop).map_err(other)?;
        rows.push(Row::new(&case("sockets"), &seen, None));
    }
    if let Some(out) = out {
        let mut header = Header::new(&experiment).map_err(other)?;
        header.variants = rows.iter().map(|row| row.variant.clone()).collect();
        header.title += " (sockets)";
        let (mut file, known) = Rows::open(out, &header).map_err(input)?;
        if !known.is_empty() {
            return Err(input(format!("{}: has rows already", out.display())));
        }
        rows.iter().try_for_each(|row| file.add(row)).map_err(other)?;
    }
    Ok(compare::table(&rows, None))
}

fn draw(folder: &Path, pictures: &[plot::Picture]) -> Result<(), Failed> {
    std::fs::create_dir_all(folder).map_err(other)?;
    for (n, picture) in pictures.iter().enumerate() {
        let words = picture.title.to_lowercase();
        let words: Vec<&str> = words.split(|c: char| !c.is_ascii_alphanumeric()).collect();
        let words: Vec<&str> = words.into_iter().filter(|w| !w.is_empty()).take(6).collect();
        let name = format!("{:02}-{}.svg", n + 1, words.join("-"));
        std::fs::write(folder.join(name), picture.svg().map_err(other)?).map_err(other)?;
    }
    Ok(())
}

fn scale(options: &scale::Options) -> Result<String, Failed> {
    options.check().map_err(input)?;
    // Before anything is measured, so that a place that can't be written to costs no time.
    let create = |path: &PathBuf| {
        std::fs::File::create(path).map_err(|why| input(format!("{}: {why}", path.display())))
    };
    let mut file = options.out.as_ref().map(create).transpose()?;
    let mut line = |line: serde_json::Result<String>| match &mut file {
        Some(file) => writeln!(file, "{}", line?),
        None => Ok(()),
    };
    let tell = &mut |what: &str| eprintln!("{what}");
    let found = scale::run(options, &interrupted(), tell, &mut |row| line(serde_json::to_string(row)));
    let found = found.map_err(other)?;
    let slopes = scale::row::slopes(&found.rows);
    slopes.iter().try_for_each(|slope| line(serde_json::to_string(slope))).map_err(other)?;
    if let Some(folder) = &options.svg {
        draw(folder, &page::pictures(&found.rows))?;
    }
    let mut text = page::medians(&found.rows) + &page::slopes(&slopes);
    found.left_out.iter().for_each(|what| text += &format!("\nleft out: {what}"));
    Ok(text + "\n")
}

fn carry_out(command: Command) -> Result<String, Failed> {
    match command {
        Command::Check { file } => {
            let e = read(&file)?;
            Ok(format!("{}: good ({} variants, {} seeds)\n", file.display(), e.variants.len(), e.seeds))
        }
        Command::Run { playing, out } => run(&playing, out.as_deref()),
        Command::Sweep { playing, out } => {
            if read(&playing.file)?.sweep.is_none() {
                return Err(input(format!("{}: expected a sweep(...)", playing.file.display())));
            }
            run(&playing, Some(&out))
        }
        Command::Compare { rows, before } => {
            let (header, rows) = rows::read(&rows).map_err(input)?;
            if let Some(before) = before {
                let (earlier, old) = rows::read(&before).map_err(input)?;
                if earlier.title != header.title || earlier.setting != header.setting {
                    return Err(input(format!("{}: rows of another experiment", before.display())));
                }
                return Ok(compare::with_before(&old, &rows, header.setting.as_deref()));
            }
            Ok(compare::table(&rows, header.setting.as_deref()))
        }
        Command::Plot { rows, svg, html } => {
            let (header, rows) = rows::read(&rows).map_err(input)?;
            if let Some(folder) = svg {
                draw(&folder, &plot::pictures(&header, &rows))?;
            }
            if let Some(html) = html {
                let page = report::html(&header, &rows).map_err(other)?;
                std::fs::write(html, page).map_err(other)?;
            }
            Ok(String::new())
        }
        Command::Scale(options) => scale(&options),
        Command::Load { file, router, program, out } => {
            load(&file, &router, program.as_deref(), out.as_deref())
        }
        Command::Replay { file, seed, variant, point, record } => {
            replay(&file, seed, (variant.as_deref(), point), record.as_deref())
        }
        Command::Hunt { file, find, seeds, troubles, jobs, out } => {
            let experiment = read(&file)?;
            let prey = match find {
                Find::Rule => Prey::Rule,
                Find::Worst => Prey::Worst,
            };
            let hunt = Hunt { prey, first: seeds.0, last: seeds.1, troubles, jobs };
            let plan = &experiment.variants[0].plan;
            let (caught, broke) = hunt.run(plan, &interrupted()).map_err(other)?;
            let told = format!("{broke} of {} days broke a rule\n", seeds.1 - seeds.0 + 1);
            let Some(caught) = caught else { return Ok(told) };
            let before = caught.plan.faults.len();
            let (day, played) = hunt.shrink(caught).map_err(other)?;
            let about = format!(
                "seed {}: {:.4} in time, broken: {:?}; {} of {before} faults left after {played} days",
                day.plan.seed,
                day.share,
                day.broken,
                day.plan.faults.len()
            );
            let script = settings::written(&day.plan, &about);
            match out {
                Some(out) => std::fs::write(out, script).map_err(other).map(|()| format!("{told}{about}\n")),
                None => Ok(format!("# {told}{script}")),
            }
        }
    }
}

fn main() -> ExitCode {
    let command = match Cli::try_parse() {
        Ok(cli) => cli.command,
        Err(wrong) if wrong.use_stderr() => {
            // Its first line says what is wrong; the rest of it is advice.
            let text = wrong.to_string();
            eprintln!("{}", text.lines().next().unwrap_or_default());
            return ExitCode::from(2);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match carry_out(command) {
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
