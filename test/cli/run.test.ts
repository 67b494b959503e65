import { describe, expect, test } from "@jest/globals";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runCommand } from "./run-command.js";

describe("command line", () => {
    test("prints help with exit code 0", async () => {
        const result = await runCommand(["settings", "--help"]);
        expect(result).toMatchObject({ exitCode: 0 });
        expect(result.output).toContain("check");
    });

    test.each([[["no-such-command"]], [["settings", "check"]], [["status", "--no-such-option"]]])(
        "rejects %j with the usage exit code",
        async commandArguments => {
            expect((await runCommand(commandArguments)).exitCode).toBe(2);
        },
    );

    test("prints a settings sample that the check accepts, and reports faults with exit code 1", async () => {
        const directory = await mkdtemp(join(tmpdir(), "pomelostall-"));
        try {
            const file = join(directory, "router.jsonc");
            await writeFile(file, (await runCommand(["settings", "sample"])).output);
            expect((await runCommand(["settings", "check", file])).exitCode).toBe(0);
            await writeFile(file, "{}");
            const checked = await runCommand(["settings", "check", file, "--json"]);
            expect(checked.exitCode).toBe(1);
            expect(JSON.parse(checked.output)).toMatchObject({ faults: [{ field: "router" }, { field: "platform" }] });
        }
        finally {
            await rm(directory, { recursive: true });
        }
    });

    test("reports an unreadable file by its error code", async () => {
        const result = await runCommand(["settings", "check", "/nonexistent/router.jsonc"]);
        expect(result.exitCode).toBe(1);
        expect(result.errors).toContain("unreadable-file");
    });
});
