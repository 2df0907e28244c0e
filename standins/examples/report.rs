//! Prints a table of medians over runs from the load generator's JSON reports.
//!
//! Each row is a directory with one report per run, `N.json`, and optionally `N.extra`, lines of
//! `name value` that the script measured beside it.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use clap::Parser;
use standins::load::{KindReport, LoadReport};

/// Values nearer to 0 are printed with three decimals, others with two.
const THREE_DECIMALS_BELOW: f64 = 10.0;

/// Prints medians over runs, with the least and greatest in brackets, as a Markdown table
#[derive(Debug, Parser)]
struct Arguments {
    /// Columns, separated by commas: `TITLE=KIND.FIGURE`, `TITLE=KIND-KIND.FIGURE` for the
    /// difference within each run, or `TITLE=extra.NAME`; the kind `all` stands for all kinds
    #[arg(long, required = true, value_delimiter = ',')]
    columns: Vec<Column>,
    /// Prints one row per second of the run in place of one per directory
    #[arg(long)]
    by_second: bool,
    /// Directories of runs, one per row
    #[arg(required = true)]
    rows: Vec<PathBuf>,
}

#[derive(Debug, Clone)]
struct Column {
    title: String,
    kind: String,
    minus: Option<String>,
    figure: String,
}

impl FromStr for Column {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let shape = || format!("{text}: use TITLE=KIND.FIGURE");
        let (title, value) = text.split_once('=').ok_or_else(shape)?;
        let (kinds, figure) = value.split_once('.').ok_or_else(shape)?;
        let (kind, minus) = match kinds.split_once('-') {
            Some((kind, minus)) => (kind, Some(minus.to_owned())),
            None => (kinds, None),
        };
        Ok(Self {
            title: title.to_owned(),
            kind: kind.to_owned(),
            minus,
            figure: figure.to_owned(),
        })
    }
}

/// One run with what was measured beside it.
#[derive(Debug)]
struct Run {
    report: LoadReport,
    extra: BTreeMap<String, f64>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    let titles: Vec<&str> = arguments.columns.iter().map(|c| c.title.as_str()).collect();
    println!("| case | {} |", titles.join(" | "));
    println!("|---|{}", "---|".repeat(titles.len()));
    for row in &arguments.rows {
        let runs = read_runs(row)?;
        let label = row.file_name().unwrap_or_default().to_string_lossy();
        if arguments.by_second {
            print_seconds(&label, &runs, &arguments.columns)?;
        } else {
            let cells = cells(&arguments.columns, |column| values(&runs, column))?;
            println!("| {label} | {cells} |");
        }
    }
    Ok(())
}

fn read_runs(directory: &Path) -> Result<Vec<Run>, Box<dyn Error>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(format!("{}: no runs", directory.display()).into());
    }
    files.iter().map(|file| read_run(file)).collect()
}

fn read_run(file: &Path) -> Result<Run, Box<dyn Error>> {
    let report = serde_json::from_slice(&fs::read(file)?)?;
    let extra_text = fs::read_to_string(file.with_extension("extra")).unwrap_or_default();
    let mut extra = BTreeMap::new();
    for line in extra_text.lines() {
        let (name, value) = line
            .split_once(' ')
            .ok_or("extra: use lines of NAME VALUE")?;
        extra.insert(name.to_owned(), value.trim().parse()?);
    }
    Ok(Run { report, extra })
}

fn cells(
    columns: &[Column],
    values: impl Fn(&Column) -> Result<Vec<f64>, Box<dyn Error>>,
) -> Result<String, Box<dyn Error>> {
    let cells: Result<Vec<String>, _> = columns
        .iter()
        .map(|column| values(column).map(median_with_spread))
        .collect();
    Ok(cells?.join(" | "))
}

fn values(runs: &[Run], column: &Column) -> Result<Vec<f64>, Box<dyn Error>> {
    runs.iter().map(|run| value(run, column)).collect()
}

fn value(run: &Run, column: &Column) -> Result<f64, Box<dyn Error>> {
    if column.kind == "extra" {
        let missing = || format!("extra: no {}", column.figure);
        return Ok(*run.extra.get(&column.figure).ok_or_else(missing)?);
    }
    let first = figure(kind_of(&run.report, &column.kind)?, &column.figure)?;
    let Some(minus) = &column.minus else {
        return Ok(first);
    };
    Ok(first - figure(kind_of(&run.report, minus)?, &column.figure)?)
}

fn kind_of<'a>(report: &'a LoadReport, name: &str) -> Result<&'a KindReport, Box<dyn Error>> {
    if name == "all" {
        return Ok(&report.overall);
    }
    let found = report.kinds.iter().find(|kind| kind.name == name);
    Ok(found.ok_or_else(|| format!("no kind {name}"))?)
}

fn figure(kind: &KindReport, name: &str) -> Result<f64, Box<dyn Error>> {
    let ms = |us: u64| us as f64 / 1_000.0;
    let percent = |count: u64| 100.0 * count as f64 / kind.sent.max(1) as f64;
    let refused = kind.refusal_latency.count;
    Ok(match name {
        "p50_ms" => ms(kind.latency.p50_us),
        "p99_ms" => ms(kind.latency.p99_us),
        "p999_ms" => ms(kind.latency.p999_us),
        "send_delay_p99_ms" => ms(kind.send_delay.p99_us),
        "sent" => kind.sent as f64,
        "answered" => kind.answered as f64,
        "answered_percent" => percent(kind.answered),
        "refused_percent" => percent(refused),
        "lost_percent" => percent(kind.sent.saturating_sub(kind.answered + refused)),
        "answered_per_s" => kind.answered as f64 / kind.seconds.len().max(1) as f64,
        other => return Err(format!("no figure {other}").into()),
    })
}

fn print_seconds(label: &str, runs: &[Run], columns: &[Column]) -> Result<(), Box<dyn Error>> {
    let lengths = runs.iter().map(|run| run.report.overall.seconds.len());
    for second in 0..lengths.max().unwrap_or(0) {
        let row = cells(columns, |column| {
            let at = |run: &Run| value_at(run, column, second as u64).transpose();
            runs.iter().filter_map(at).collect()
        })?;
        println!("| {label}, second {second} | {row} |");
    }
    Ok(())
}

/// A figure of one second; none when nothing of the kind was sent in it.
fn value_at(run: &Run, column: &Column, second: u64) -> Result<Option<f64>, Box<dyn Error>> {
    let kind = kind_of(&run.report, &column.kind)?;
    let Some(at) = kind.seconds.iter().find(|report| report.second == second) else {
        return Ok(None);
    };
    Ok(Some(match column.figure.as_str() {
        "p50_ms" => at.p50_us as f64 / 1_000.0,
        "p99_ms" => at.p99_us as f64 / 1_000.0,
        "sent" => at.sent as f64,
        "answered" => at.answered as f64,
        "refused" => at.refused as f64,
        "failed" => at.failed as f64,
        other => return Err(format!("no figure {other} by second").into()),
    }))
}

fn median_with_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "-".to_owned(),
        [only] => short(*only),
        [least, .., greatest] => {
            let median = median(&values);
            format!("{} [{}-{}]", short(median), short(*least), short(*greatest))
        }
    }
}

fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        sorted[middle]
    } else {
        f64::midpoint(sorted[middle - 1], sorted[middle])
    }
}

fn short(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else if value.abs() < THREE_DECIMALS_BELOW {
        format!("{value:.3}")
    } else {
        format!("{value:.2}")
    }
}
