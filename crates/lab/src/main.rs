//! The command line of the lab. Exit codes: 0 success, 1 failed or interrupted, 2 invalid arguments or input.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use linnethook_lab::experiment::{Case, Experiment};
use linnethook_lab::hunt::{Hunt, HuntTarget};
use linnethook_lab::load::Clients;
use linnethook_lab::rows::{self, Header, Row, Rows};
use linnethook_lab::scale::{self, page};
use linnethook_lab::{compare, experiment, faults, play, plot, report, settings, sockets};
use linnethook_model::simulation::Simulation;

/// Experiments on a model of the fleet, with the shipped decision module and baseline policies.
#[derive(Debug, Parser)]
#[command(name = "linnethook-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Args)]
struct RunOptions {
    file: PathBuf,
    /// Threads; the rows are the same with any number of them
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Number of seeds, instead of that of the file
    #[arg(long)]
    seeds: Option<u64>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment: every variant with every seed
    Run {
        #[command(flatten)]
        run_options: RunOptions,
        /// File for the rows, as lines of JSON; an existing one is continued
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Run an experiment that sweeps a parameter; runs with a row in the file are not repeated
    Sweep {
        #[command(flatten)]
        run_options: RunOptions,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Compare the variants in a file of rows
    Compare {
        rows: PathBuf,
        /// Rows of the same experiment by an earlier build, with which each variant is compared
        #[arg(long, value_name = "ROWS")]
        before: Option<PathBuf>,
    },
    /// Draw the charts of a file of rows, as SVG into a folder or as one page of HTML
    Plot {
        rows: PathBuf,
        #[arg(long, value_name = "FOLDER", required_unless_present = "html")]
        svg: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Run one seed twice, and print whether the records are identical, its faults and the broken rules
    Replay {
        file: PathBuf,
        seed: u64,
        /// Name of the variant; the first by default
        #[arg(long)]
        variant: Option<String>,
        /// Value of the swept parameter
        #[arg(long)]
        point: Option<f64>,
        /// File for the record, as lines of JSON
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Search for the worst run, or one that breaks a rule, and shrink it to a short script
    Hunt {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "rule")]
        find: Find,
        /// Seeds, as FIRST..LAST
        #[arg(long, default_value = "1..200", value_parser = seed_range)]
        seeds: (u64, u64),
        /// Number of random faults of each run
        #[arg(long, default_value_t = 6)]
        troubles: usize,
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// File for the script, instead of the standard output
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Send the load of the first variant to real routers on loopback, in an open loop; without --router, to
    /// a fleet that is started with the cache servers of the testbed, and run the same plan on the model for
    /// comparison
    Load {
        file: PathBuf,
        /// Addresses of running routers
        #[arg(long, value_name = "ADDRESS")]
        router: Vec<SocketAddr>,
        /// Executable of the router; by default the one in the folder of this program
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// File for the row, and for that of the model for the same plan
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Fleets of increasing size: traffic, memory and CPU time of each router, with slopes
    Scale(scale::Options),
    /// Validate an experiment file
    Check { file: PathBuf },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Find {
    Rule,
    Worst,
}

fn seed_range(text: &str) -> Result<(u64, u64), String> {
    let error = || format!("expected FIRST..LAST, got {text:?}");
    let (first, last) = text.split_once("..").ok_or_else(error)?;
    let (first, last) = (first.parse().map_err(|_| error())?, last.parse().map_err(|_| error())?);
    if first <= last {
        Ok((first, last))
    } else {
        Err(error())
    }
}

enum CommandError {
    Input(String),
    Other(String),
}

fn other(error: impl std::fmt::Display) -> CommandError {
    CommandError::Other(error.to_string())
}

fn input(error: impl std::fmt::Display) -> CommandError {
    CommandError::Input(error.to_string())
}

fn read(file: &Path) -> Result<Experiment, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|w| input(format!("{}: {w}", file.display())))?;
    experiment::read(&file.display().to_string(), &text).map_err(input)
}

/// A flag that is set by an interrupt.
fn interrupted() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let statistics = stop.clone();
    // If no handler can be installed, an interrupt ends the program by default.
    let _ = ctrlc::set_handler(move || statistics.store(true, Ordering::Release));
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

fn run(run_options: &RunOptions, out: Option<&Path>) -> Result<String, CommandError> {
    let mut experiment = read(&run_options.file)?;
    experiment.seeds = run_options.seeds.unwrap_or(experiment.seeds);
    let cases = experiment.cases();
    let header = Header::new(&experiment).map_err(other)?;
    let (mut file, mut all) = match out {
        None => (None, Vec::new()),
        Some(out) => Rows::open(out, &header).map(|(file, rows)| (Some(file), rows)).map_err(input)?,
    };
    let remaining = rows::remaining(&cases, &all);
    let stop = interrupted();
    let bar = bar(cases.len(), cases.len() - remaining.len());
    play::play(&remaining, experiment.judged, run_options.jobs, &stop, |row| {
        if let Some(file) = &mut file {
            file.add(&row)?;
        }
        all.push(row);
        bar.inc(1);
        Ok(())
    })
    .map_err(other)?;
    bar.finish_and_clear();
    let finished = all.iter().filter(|row| cases.iter().any(|case| row.seed == case.plan.seed)).count();
    let text = compare::table(&rows::sorted(&cases, all), header.setting.as_deref());
    if finished < cases.len() {
        return Err(CommandError::Other(format!("{text}stopped after {finished} of {} runs", cases.len())));
    }
    Ok(text)
}

fn replay(
    file: &Path,
    seed: u64,
    (variant, point): (Option<&str>, Option<f64>),
    record: Option<&Path>,
) -> Result<String, CommandError> {
    let mut experiment = read(file)?;
    (experiment.first, experiment.seeds) = (seed, 1);
    let cases = experiment.cases();
    let fits = |case: &&Case| {
        variant.is_none_or(|name| name == case.variant) && point.is_none_or(|point| case.point == Some(point))
    };
    let case = cases.iter().find(fits).ok_or_else(|| input("the experiment has no such variant or point"))?;
    let record_run = || Simulation::run_recorded(case.plan.clone()).map_err(|error| other(error.0));
    let (one, two) = (record_run()?, record_run()?);
    let (_, breaches) = Simulation::run_checked(case.plan.clone()).map_err(|error| other(error.0))?;
    let lines: Result<Vec<String>, _> = one.1.iter().map(serde_json::to_string).collect();
    let text = lines.map_err(other)?.join("\n");
    if let Some(record) = record {
        std::fs::write(record, &text).map_err(other)?;
    }
    let digest = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    let mut out = format!("{} with seed {seed}: record {digest:016x}, {} lines, ", case.variant, one.1.len());
    out += if one == two { "identical in both runs\n" } else { "NOT identical in both runs\n" };
    for (at, fault) in &case.plan.faults {
        out += &format!("{at:>9.3} s  {}\n", faults::description(fault));
    }
    out += &compare::table(&[Row::new(case, &one.0, Some(breaches.len() as u64))], None);
    breaches.iter().take(20).for_each(|breach| out += &format!("{breach}\n"));
    if one == two {
        Ok(out)
    } else {
        Err(CommandError::Other(out))
    }
}

fn load(
    file: &Path,
    routers: &[SocketAddr],
    program: Option<&Path>,
    out: Option<&Path>,
) -> Result<String, CommandError> {
    let experiment = read(file)?;
    let cases = experiment.cases();
    let plan = &cases[0].plan;
    let stop = interrupted();
    let mut rows = Vec::new();
    let case = |variant: &str| Case { variant: variant.to_string(), ..cases[0].clone() };
    if routers.is_empty() {
        sockets::check(plan).map_err(input)?;
        let program = linnethook_testbed::process_cluster::router_program(program).map_err(input)?;
        let (statistics, breaches) = sockets::play(plan, &program, &stop).map_err(other)?;
        breaches.iter().take(10).for_each(|breach| eprintln!("{breach}"));
        rows.push(Row::new(&case("sockets"), &statistics, Some(breaches.len() as u64)));
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
        let statistics = clients.drive(&stop).map_err(other)?;
        rows.push(Row::new(&case("sockets"), &statistics, None));
    }
    if let Some(out) = out {
        let mut header = Header::new(&experiment).map_err(other)?;
        header.variants = rows.iter().map(|row| row.variant.clone()).collect();
        header.title += " (sockets)";
        let (mut file, known) = Rows::open(out, &header).map_err(input)?;
        if !known.is_empty() {
            return Err(input(format!("{}: expected a new file, got one with rows", out.display())));
        }
        rows.iter().try_for_each(|row| file.add(row)).map_err(other)?;
    }
    Ok(compare::table(&rows, None))
}

fn draw(folder: &Path, pictures: &[plot::Picture]) -> Result<(), CommandError> {
    std::fs::create_dir_all(folder).map_err(other)?;
    for (n, picture) in pictures.iter().enumerate() {
        let title = picture.title.to_lowercase();
        let title_parts: Vec<&str> = title.split(|c: char| !c.is_ascii_alphanumeric()).collect();
        let title_parts: Vec<&str> = title_parts.into_iter().filter(|w| !w.is_empty()).take(6).collect();
        let name = format!("{:02}-{}.svg", n + 1, title_parts.join("-"));
        std::fs::write(folder.join(name), picture.svg().map_err(other)?).map_err(other)?;
    }
    Ok(())
}

fn scale(options: &scale::Options) -> Result<String, CommandError> {
    options.check().map_err(input)?;
    // Created before the measurements, so that an unwritable path fails at once.
    let create = |path: &PathBuf| {
        std::fs::File::create(path).map_err(|why| input(format!("{}: {why}", path.display())))
    };
    let mut file = options.out.as_ref().map(create).transpose()?;
    let mut line = |line: serde_json::Result<String>| match &mut file {
        Some(file) => writeln!(file, "{}", line?),
        None => Ok(()),
    };
    let report = &mut |what: &str| eprintln!("{what}");
    let found = scale::run(options, &interrupted(), report, &mut |row| line(serde_json::to_string(row)));
    let found = found.map_err(other)?;
    let slopes = scale::row::slopes(&found.rows);
    slopes.iter().try_for_each(|slope| line(serde_json::to_string(slope))).map_err(other)?;
    if let Some(folder) = &options.svg {
        draw(folder, &page::pictures(&found.rows))?;
    }
    let mut text = page::medians(&found.rows) + &page::slopes(&slopes);
    found.skipped.iter().for_each(|what| text += &format!("\nskipped: {what}"));
    Ok(text + "\n")
}

fn execute(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Check { file } => {
            let e = read(&file)?;
            Ok(format!("{}: valid ({} variants, {} seeds)\n", file.display(), e.variants.len(), e.seeds))
        }
        Command::Run { run_options, out } => run(&run_options, out.as_deref()),
        Command::Sweep { run_options, out } => {
            if read(&run_options.file)?.sweep.is_none() {
                return Err(input(format!("{}: expected a sweep(...)", run_options.file.display())));
            }
            run(&run_options, Some(&out))
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
            let target = match find {
                Find::Rule => HuntTarget::Rule,
                Find::Worst => HuntTarget::Worst,
            };
            let hunt = Hunt { target, first: seeds.0, last: seeds.1, faults_per_run: troubles, jobs };
            let plan = &experiment.variants[0].plan;
            let (found, breaching_runs) = hunt.run(plan, &interrupted()).map_err(other)?;
            let summary = format!("{breaching_runs} of {} runs broke a rule\n", seeds.1 - seeds.0 + 1);
            let Some(found) = found else { return Ok(summary) };
            let before = found.plan.faults.len();
            let (run, runs) = hunt.shrink(found).map_err(other)?;
            let about = format!(
                "seed {}: {:.4} in time, broken rules: {:?}; {} of {before} faults left after {runs} runs",
                run.plan.seed,
                run.in_time_share,
                run.broken_rules,
                run.plan.faults.len()
            );
            let script = settings::write_plan(&run.plan, &about);
            match out {
                Some(out) => {
                    std::fs::write(out, script).map_err(other).map(|()| format!("{summary}{about}\n"))
                }
                None => Ok(format!("# {summary}{script}")),
            }
        }
    }
}

fn main() -> ExitCode {
    let command = match Cli::try_parse() {
        Ok(cli) => cli.command,
        Err(error) if error.use_stderr() => {
            // The first line contains the error; the others are advice.
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or_default());
            return ExitCode::from(2);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match execute(command) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(CommandError::Input(what)) => {
            eprintln!("{what}");
            ExitCode::from(2)
        }
        Err(CommandError::Other(what)) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}
