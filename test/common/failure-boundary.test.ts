import { beforeEach, expect, jest, test } from "@jest/globals";
import { ESLint } from "eslint";
import tseslint from "typescript-eslint";
import { FailureReporter } from "../../src/common/failure-boundary.js";
import { createLogger, LogFormat } from "../../src/common/logger.js";
import { PrometheusMetrics } from "../../src/process/metrics/prometheus-metrics.js";

let lines: string[];
let metrics: PrometheusMetrics;
let reporter: FailureReporter;

beforeEach(() => {
    lines = [];
    metrics = new PrometheusMetrics();
    reporter = new FailureReporter(metrics, createLogger(LogFormat.json, "info", "x", line => lines.push(line)));
});

const counted = (count: number) => expect(metrics.render()).toContain(`{work="parsing"} ${count}`);
const throwError = () => {
    throw new RangeError("too odd");
};

test("what a wrapped callback throws, or rejects with, ends its work and reaches nobody else", async () => {
    const ended: unknown[] = [];
    const boundary = reporter.createBoundary("parsing", error => ended.push(String(error)));
    boundary.wrap(throwError)();
    boundary.run(async () => throwError());
    await Promise.resolve();
    expect(ended).toEqual(["RangeError: too odd", "RangeError: too odd"]);
    counted(2);
    expect(lines.join("")).toContain("RangeError: too odd");
});

test("a failure to end the work is reported as well, and contained", () => {
    reporter.createBoundary("parsing", throwError).run(throwError);
    counted(2);
});

test("a wrapped callback gets its arguments", () => {
    const seen: unknown[] = [];
    reporter.createBoundary("parsing").wrap((...values: unknown[]) => seen.push(...values))(1, "b");
    expect(seen).toEqual([1, "b"]);
});

// A handler that its author forgot to wrap would end the process at the first odd byte.
test.each([
    ["an event", 'socket.on("data", chunk => parse(chunk));'],
    ["an event, once", 'socket.once("close", parse);'],
    ["a signal", 'signal.addEventListener("abort", () => parse());'],
    ["a timer", "setTimeout(() => parse(), 5);"],
    ["an interval", "setInterval(parse, 5);"],
    ["a turn of the event loop", "setImmediate(parse);"],
    ["a microtask", "queueMicrotask(() => parse());"],
    ["a server", "createServer((request, response) => parse(request, response));"],
])("the linter rejects an unwrapped callback of %s in the gateway", async (_case, code) => {
    jest.useRealTimers();
    const linter = new ESLint({ overrideConfig: [tseslint.configs.disableTypeChecked] });
    const lint = async (filePath: string) => (await linter.lintText(code, { filePath }))[0]!.messages;
    for (const folder of ["src/connection/gateway", "src/request/gateway", "src/process/gateway/other", "platform"]) {
        expect(await lint(`${folder}/new-handler.ts`)).toMatchObject([{ ruleId: "no-restricted-syntax" }]);
    }
});

test("the linter rejects floating promises in the gateway, also behind void", async () => {
    jest.useRealTimers();
    const config = await new ESLint().calculateConfigForFile("src/request/gateway/new-handler.ts") as {
        rules: Record<string, unknown>;
    };
    expect(config.rules["@typescript-eslint/no-floating-promises"]).toEqual([2, { ignoreVoid: false }]);
});
