/**
 * Generates the documentation pages that are derived from the source. With --check, writes nothing: reports pages that
 * are out of date and metrics of the source that docs/METRICS.md doesn't document, and exits with status 1 if there are
 * any.
 */
import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { listErrorDefinitions } from "../src/errors/index.js";
import { renderSettingsReference } from "../src/process/settings/describe-settings.js";
import { describeSheet } from "../src/version/sheet/index.js";

interface GeneratedPage {
    readonly file: string;
    render(): string;
}

const pages: readonly GeneratedPage[] = [
    { file: "docs/SETTINGS.md", render: renderSettingsReference },
    { file: "docs/SHEET.md", render: describeSheet },
    { file: "docs/ERRORS.md", render: renderErrors },
];

const metricPattern = /"(pomelostall\.[a-z_.]+)"/g;

function renderErrors(): string {
    const sections = listErrorDefinitions().map(definition =>
        [
            `## ${definition.code}`,
            "",
            `${definition.title}.${
                definition.status === undefined ? "" : ` Callers and operators see HTTP status ${definition.status}.`
            }`,
            "",
            definition.hint,
            "",
        ].join("\n")
    );
    return [
        "# Errors",
        "",
        "Made from src/errors by `npm run docs:generate`. Every failure has one of these codes; towards callers it comes in",
        "the JSON shape that docs/API.md describes, with the outcome `not-run`, `failed` or `unknown`.",
        "",
        ...sections,
    ].join("\n");
}

async function isUpToDate(page: GeneratedPage): Promise<boolean> {
    const present = await readFile(page.file, "utf8").catch(() => "");
    return present === page.render();
}

async function findUndocumentedMetrics(): Promise<string[]> {
    const documented = await readFile("docs/METRICS.md", "utf8");
    const files = (await readdir("src", { recursive: true })).filter(file => file.endsWith(".ts"));
    const names = new Set<string>();
    for (const file of files) {
        const source = await readFile(join("src", file), "utf8");
        for (const [, name] of source.matchAll(metricPattern)) {
            names.add(name!);
        }
    }
    return [...names].filter(name => !documented.includes(`\`${name}\``)).sort();
}

async function check(): Promise<number> {
    const problems: string[] = [];
    for (const page of pages) {
        if (!await isUpToDate(page)) {
            problems.push(`${page.file} is out of date; run npm run docs:generate`);
        }
    }
    problems.push(...(await findUndocumentedMetrics()).map(name => `docs/METRICS.md does not document metric ${name}`));
    problems.forEach(problem =>
        process.stderr.write(`${problem}
`)
    );
    return problems.length === 0 ? 0 : 1;
}

async function generate(): Promise<number> {
    for (const page of pages) {
        await writeFile(page.file, page.render());
    }
    return 0;
}

process.exitCode = process.argv.includes("--check") ? await check() : await generate();
