import { describe, expect, test } from "@jest/globals";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { type SheetFault, SheetInvalidError } from "../../../src/errors/index.js";
import {
    buildConfiguration,
    createEmptyConfiguration,
    describeSheet,
    diffSheets,
} from "../../../src/version/sheet/index.js";

const record = { version: 3, pushId: "push", parent: 2, author: "planner", acceptedAt: "2026-01-05T06:00:00Z" };
const hash = createHash("sha256").update("key").digest("hex");

const header = "kind,name,version,layers,layer_megabytes,activation_kilobytes,cache_bytes_per_token_layer,adapters,"
    + "maximum_tokens,model,adapter,customers,key_hashes,tokens_per_second,burst_tokens,region,from,to,"
    + "latency_milliseconds,megabytes_per_second,comment";
const columns = header.split(",");

function row(cells: Readonly<Record<string, string | number>>): string {
    return columns.map(column => cells[column] ?? "").join(",");
}

const model = {
    kind: "model",
    name: "writer",
    version: "1",
    layers: 12,
    layer_megabytes: 10,
    activation_kilobytes: 4,
    cache_bytes_per_token_layer: 64,
    maximum_tokens: 1000,
};
const customer = { kind: "customer", name: "yard", key_hashes: hash, tokens_per_second: 10, burst_tokens: 20 };

function sheet(...rows: Readonly<Record<string, string | number>>[]): string {
    return [header, ...rows.map(row)].join("\n");
}

function collectFaults(text: string): readonly SheetFault[] {
    try {
        buildConfiguration(record, text);
    }
    catch (error) {
        if (error instanceof SheetInvalidError) {
            return error.faults;
        }
        throw error;
    }
    return [];
}

const readExample = (name: string) => readFileSync(new URL(`../../../examples/${name}.csv`, import.meta.url), "utf8");

describe("sheet", () => {
    test.each(["haddow", "kanuri"])("builds a configuration from the sample %s", name => {
        const configuration = buildConfiguration(record, readExample(name));
        expect(configuration).toMatchObject(record);
        expect(configuration.customers.size).toBe(10);
        expect(new Set([...configuration.backendServerClasses.values()].map(each => each.acceleratorKind)).size).toBe(
            3,
        );
        expect([...configuration.services.keys()]).toEqual(["bookings", "stock"]);
        expect(configuration.services.get("bookings")?.idempotentMethods).toEqual(["GET", "HEAD"]);
        for (const each of configuration.customers.values()) {
            expect(each.keyHashes).toEqual([createHash("sha256").update(`demo-${each.name}`).digest("hex")]);
        }
    });

    test("the empty configuration serves nothing", () => {
        expect(createEmptyConfiguration()).toMatchObject({ version: 0, routes: new Map() });
    });

    test("reports all faults at once, each with row, column, value found and accepted values", () => {
        const text = sheet(
            { ...model, layers: "many", name: "wri ter" },
            {},
            { ...customer, tokens_per_second: "", model: "x" },
            { kind: "truck", name: "x" },
            { kind: "route", name: "notes", model: "reader", customers: "yard;nobody" },
        );
        expect(collectFaults(text)).toEqual([
            expect.objectContaining({ row: 2, column: "name", found: "wri ter" }),
            { row: 2, column: "layers", found: "many", accepted: "a whole number from 1 to 1000" },
            { row: 4, column: "model", found: "x", accepted: "nothing in a row of kind customer" },
            expect.objectContaining({ row: 4, column: "tokens_per_second", found: "" }),
            expect.objectContaining({ row: 5, column: "kind", found: "truck" }),
            expect.objectContaining({ row: 6, column: "customers", found: "nobody", accepted: "a customer: yard" }),
            expect.objectContaining({ row: 6, column: "model", found: "reader" }),
        ]);
    });

    test.each([
        ["a repeated name", sheet(model, model), "name", "writer"],
        ["a key that two customers share", sheet(customer, { ...customer, name: "other" }), "key_hashes", hash],
        [
            "an adapter that the model lacks",
            sheet(model, { kind: "route", name: "r", model: "writer", adapter: "a" }),
            "adapter",
            "a",
        ],
        ["an unknown column", `${header},weigth\n`, "weigth", "weigth"],
        ["an empty file", "", "kind", ""],
        ["a header without the kind column", "name\nx", "kind", ""],
        ["a cell in a column without a header", `${header}\n${row(model)},stray`, "number 22", "stray"],
        [
            "a link whose end is not an availability zone",
            sheet({ kind: "link", from: "a/b", to: "*", latency_milliseconds: 1, megabytes_per_second: 1 }),
            "from",
            "a/b",
        ],
        [
            "two availability zones without a link",
            sheet({ kind: "availability-zone", name: "a", region: "r" }, {
                kind: "availability-zone",
                name: "b",
                region: "r",
            }),
            "name",
            "b",
        ],
        [
            "two weight-store rows",
            sheet({ kind: "weight-store", megabytes_per_second: 1 }, { kind: "weight-store", megabytes_per_second: 2 }),
            "kind",
            "weight-store",
        ],
    ])("refuses %s", (_case, text, column, found) => {
        expect(collectFaults(text)).toContainEqual(expect.objectContaining({ column, found }));
    });

    test("refuses a quoted cell without a closing quote", () => {
        expect(collectFaults(`${header}\nmodel,"writer`)).toHaveLength(1);
    });

    test("the most specific link row applies, in both directions", () => {
        const { topology } = buildConfiguration(record, readExample("kanuri"));
        const at = (availabilityZone: string) => ({ region: "northern-nigeria", availabilityZone });
        expect(topology.link(at("maiduguri"), at("kano")).latencyMilliseconds).toBe(0.9);
        expect(topology.link(at("kaduna"), at("kano")).latencyMilliseconds).toBe(0.5);
        expect(topology.link(at("kano"), at("kano")).latencyMilliseconds).toBeLessThan(0.5);
        expect(topology.link(at("kano"), { region: "x", availabilityZone: "y" }).bytesPerSecond).toBe(600_000_000);
    });

    test("differences give the row and its changed cells, independently of the order of rows", () => {
        const before = sheet(model, customer);
        const after = sheet({ ...customer, burst_tokens: 30, comment: "more" }, { ...model, name: "reader" });
        expect(diffSheets(before, after)).toEqual([
            { kind: "model", name: "writer", change: "removed", cells: [] },
            {
                kind: "customer",
                name: "yard",
                change: "changed",
                cells: [{ column: "burst_tokens", before: "20", after: "30" }],
            },
            { kind: "model", name: "reader", change: "added", cells: [] },
        ]);
        expect(diffSheets(before, sheet(customer, { ...model, comment: "same" }))).toEqual([]);
    });

    test("docs/SHEET.md matches the schema", () => {
        const page = readFileSync(new URL("../../../docs/SHEET.md", import.meta.url), "utf8");
        expect(page).toBe(describeSheet());
    });
});
