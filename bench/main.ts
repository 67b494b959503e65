/**
 * Runs benchmarks: `npm run bench -- NAME` one of them, `npm run bench` all, each in a process of its own, so that one
 * that pauses the clock leaves the others alone. NAME.bench.ts holds the benchmark NAME.
 */
import { spawnSync } from "node:child_process";
import { readdir } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import type { Benchmark } from "./figures.js";
import { formatFigure, holds } from "./figures.js";

const suffix = ".bench.js";
const exitFailure = 1;
const exitUsage = 2;

async function listNames(): Promise<string[]> {
    const files = await readdir(new URL(".", import.meta.url));
    return files.filter(file => file.endsWith(suffix)).map(file => file.slice(0, -suffix.length)).sort();
}

async function runOne(name: string): Promise<number> {
    const module = await import(new URL(`./${name}${suffix}`, import.meta.url).href) as { benchmark: Benchmark; };
    const figures = await module.benchmark.run();
    for (const figure of figures) {
        process.stdout.write(`${formatFigure(figure)}\n`);
    }
    return figures.length > 0 && figures.every(holds) ? 0 : exitFailure;
}

function runAll(names: readonly string[]): number {
    let exitCode = 0;
    for (const name of names) {
        const result = spawnSync(process.execPath, [fileURLToPath(import.meta.url), name], { stdio: "inherit" });
        exitCode = result.status === 0 ? exitCode : exitFailure;
    }
    return exitCode;
}

async function main(names: readonly string[]): Promise<number> {
    const known = await listNames();
    const unknown = names.filter(name => !known.includes(name));
    if (unknown.length > 0) {
        process.stderr.write(`unknown benchmark: ${unknown.join(", ")}; known: ${known.join(", ")}\n`);
        return exitUsage;
    }
    const [only] = names;
    return names.length === 1 && only !== undefined ? runOne(only) : runAll(names.length === 0 ? known : names);
}

process.exit(await main(process.argv.slice(2)));
