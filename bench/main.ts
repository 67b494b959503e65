/**
 * Runs benchmarks. `npm run bench -- NAME` runs the benchmark defined in NAME.bench.ts; `npm run bench` runs all of
 * them and writes docs/BENCHMARKS.md. When several are run, each has its own process, so that a benchmark that installs
 * the fake clock doesn't affect the others. `npm run bench -- --report FILE` writes docs/BENCHMARKS.md from the output
 * of earlier runs.
 */
import { spawnSync } from "node:child_process";
import { readdir, readFile } from "node:fs/promises";
import { availableParallelism } from "node:os";
import { fileURLToPath } from "node:url";
import type { Benchmark } from "./figures.js";
import { formatFigure, meetsBound } from "./figures.js";
import { parseFigureLines, writeReport } from "./report.js";

const benchmarkFileSuffix = ".bench.js";
const exitFailure = 1;
const exitUsage = 2;
/** Benchmarks must finish within 50 s; one that runs longer than this time-out is killed. */
const childTimeoutMilliseconds = 90_000;
const reportOption = "--report";

async function listNames(): Promise<string[]> {
    const files = await readdir(new URL(".", import.meta.url));
    return files.filter(file => file.endsWith(benchmarkFileSuffix)).map(file =>
        file.slice(0, -benchmarkFileSuffix.length)
    ).sort();
}

async function runBenchmark(name: string): Promise<number> {
    const module = await import(new URL(`./${name}${benchmarkFileSuffix}`, import.meta.url).href) as {
        benchmark: Benchmark;
    };
    const figures = await module.benchmark.run();
    for (const figure of figures) {
        process.stdout.write(`${formatFigure(figure)}\n`);
    }
    return figures.length > 0 && figures.every(meetsBound) ? 0 : exitFailure;
}

async function runBenchmarks(names: readonly string[], writesReport: boolean): Promise<number> {
    let exitCode = 0;
    let printed = "";
    for (const name of names) {
        const result = spawnSync(process.execPath, [fileURLToPath(import.meta.url), name], {
            stdio: ["ignore", "pipe", "inherit"],
            encoding: "utf8",
            timeout: childTimeoutMilliseconds,
        });
        process.stdout.write(result.stdout);
        printed += result.stdout;
        exitCode = result.status === 0 ? exitCode : exitFailure;
    }
    if (writesReport) {
        await writeReport(parseFigureLines(printed), describeMachine());
    }
    return exitCode;
}

async function writeReportFromFile(file: string): Promise<number> {
    await writeReport(parseFigureLines(await readFile(file, "utf8")), describeMachine());
    return 0;
}

function describeMachine(): string {
    return `Node ${process.version}, ${availableParallelism()} cores`;
}

async function main(names: readonly string[]): Promise<number> {
    const [first, file] = names;
    if (first === reportOption && file !== undefined) {
        return writeReportFromFile(file);
    }
    const known = await listNames();
    const unknown = names.filter(name => !known.includes(name));
    if (unknown.length > 0) {
        process.stderr.write(`unknown benchmark: ${unknown.join(", ")}; known: ${known.join(", ")}\n`);
        return exitUsage;
    }
    const [only] = names;
    return names.length === 1 && only !== undefined
        ? runBenchmark(only)
        : runBenchmarks(names.length === 0 ? known : names, names.length === 0);
}

process.exit(await main(process.argv.slice(2)));
