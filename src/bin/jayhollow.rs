//! Executable of the command line.

fn main() -> std::process::ExitCode {
    jayhollow::cli::run(jayhollow::dev::run)
}
