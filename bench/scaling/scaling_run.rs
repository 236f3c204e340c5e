//! Runs the points of the slopes in processes of their own, so that memory is told apart.

use std::process::Command;

use crate::slopes::slope_command::{SlopeCommand, SlopePointCommand};
use crate::slopes::slope_figure::SlopeFigure;
use crate::slopes::slope_subject::SlopeSubject;
use crate::slopes::{
    catalog_slope, codec_slope, member_slope, picker_slope, queue_slope, record_slope, view_slope,
};

/// Measures one point and prints its figures as JSON.
pub fn run_point(command: &SlopePointCommand) {
    let size = command.size;
    let figures = match command.subject {
        SlopeSubject::Records => record_slope::measure(size),
        SlopeSubject::View => view_slope::measure(size),
        SlopeSubject::Members => member_slope::measure(size),
        SlopeSubject::Queue => queue_slope::measure(size),
        SlopeSubject::Picker => picker_slope::measure(size),
        SlopeSubject::Catalog => catalog_slope::measure(size),
        SlopeSubject::Offers => codec_slope::measure(size),
    };
    println!("{}", serde_json::to_string(&figures).unwrap_or_default());
}

/// Measures every point and prints a table a subject.
pub fn run_all(command: &SlopeCommand) {
    for subject in SlopeSubject::ALL {
        if command.subject.is_none_or(|only| only == subject) {
            print_subject(subject);
        }
    }
}

fn print_subject(subject: SlopeSubject) {
    let mut is_first = true;
    for size in subject.sizes() {
        let figures = point(subject, *size);
        if is_first {
            print_head(subject, &figures);
            is_first = false;
        }
        let values: Vec<String> = figures
            .iter()
            .map(|figure| format!("{:.3}", figure.value))
            .collect();
        println!("| {size} | {} |", values.join(" | "));
    }
    println!();
}

fn print_head(subject: SlopeSubject, figures: &[SlopeFigure]) {
    let names: Vec<&str> = figures.iter().map(|figure| figure.name.as_str()).collect();
    println!("| {subject} | {} |", names.join(" | "));
    println!("| ---: |{}", " ---: |".repeat(names.len()));
}

fn point(subject: SlopeSubject, size: usize) -> Vec<SlopeFigure> {
    let own = std::env::current_exe().unwrap_or_default();
    let (subject, size) = (subject.to_string(), size.to_string());
    let arguments = ["slope-point", "--subject", &subject, "--size", &size];
    let output = Command::new(own).args(arguments).output();
    let output = output.map(|output| output.stdout).unwrap_or_default();
    serde_json::from_slice(&output).unwrap_or_default()
}
