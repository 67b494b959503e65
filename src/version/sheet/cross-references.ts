/** Checks across rows: names and keys are unique, and rows refer only to rows that exist. */
import type { SheetFault } from "../../errors/index.js";
import type { NamesByKind, SheetRow, SheetRows } from "./parse-sheet.js";
import { SheetTopology } from "./sheet-topology.js";

/** Returns all faults that involve more than one row. */
export function findCrossRowFaults(rows: SheetRows, names: NamesByKind): SheetFault[] {
    return [
        ...findRepeatedNames(rows),
        ...findRepeatedKeys(rows.customer),
        ...rows.route.flatMap(route => checkRoute(route, rows, names)),
        ...rows.service.flatMap(service => checkCustomers(service, names)),
        ...rows.link.flatMap(link => checkLink(link, rows)),
        ...findMissingLinks(rows),
        ...findRepeatedWeightStores(rows),
    ];
}

function findRepeatedNames(rows: SheetRows): SheetFault[] {
    const rowsByKind: (readonly { readonly row: number; readonly name: string; }[])[] = [
        rows.model,
        rows.route,
        rows.customer,
        rows.service,
        rows["backend-server-class"],
    ];
    return [
        ...rowsByKind.flatMap(kindRows => findRepeated(kindRows, row => row.name, "name")),
        ...findRepeated(rows["availability-zone"], row => `${row.region}/${row.name}`, "name"),
        ...findRepeated(rows.link, row => `${row.from} to ${row.to}`, "to"),
    ];
}

function findRepeated<Row extends { readonly row: number; }>(
    rows: readonly Row[],
    identify: (row: Row) => string,
    column: string,
): SheetFault[] {
    const firstRows = new Map<string, number>();
    return rows.flatMap(row => {
        const identity = identify(row);
        const first = firstRows.get(identity);
        if (first === undefined) {
            firstRows.set(identity, row.row);
            return [];
        }
        return [{ row: row.row, column, found: identity, accepted: `a value that differs from row ${first}` }];
    });
}

function findRepeatedKeys(customers: readonly SheetRow<"customer">[]): SheetFault[] {
    const keys = customers.flatMap(customer => customer.key_hashes.map(hash => ({ row: customer.row, hash })));
    return findRepeated(keys, key => key.hash, "key_hashes");
}

function checkRoute(route: SheetRow<"route">, rows: SheetRows, names: NamesByKind): SheetFault[] {
    const faults = [...checkCustomers(route, names)];
    const models = names.get("model") ?? new Set();
    if (!models.has(route.model)) {
        faults.push({
            row: route.row,
            column: "model",
            found: route.model,
            accepted: describeAcceptedNames("model", models),
        });
    }
    const model = rows.model.find(candidate => candidate.name === route.model);
    if (route.adapter !== undefined && model !== undefined && !model.adapters.includes(route.adapter)) {
        const accepted = `an adapter of model ${model.name}: ${model.adapters.join(", ") || "the model has none"}`;
        faults.push({ row: route.row, column: "adapter", found: route.adapter, accepted });
    }
    return faults;
}

function checkCustomers(
    row: { readonly row: number; readonly customers: readonly string[]; },
    names: NamesByKind,
): SheetFault[] {
    const known = names.get("customer") ?? new Set();
    return row.customers.filter(customer => !known.has(customer)).map(found => ({
        row: row.row,
        column: "customers",
        found,
        accepted: describeAcceptedNames("customer", known),
    }));
}

function describeAcceptedNames(kind: string, names: ReadonlySet<string>): string {
    return names.size === 0
        ? `a ${kind} that the sheet defines (it defines none)`
        : `a ${kind}: ${[...names].join(", ")}`;
}

function checkLink(link: SheetRow<"link">, rows: SheetRows): SheetFault[] {
    const zones = rows["availability-zone"].map(zone => `${zone.region}/${zone.name}`);
    const known = new Set(["*", ...zones, ...rows["availability-zone"].map(zone => `${zone.region}/*`)]);
    return (["from", "to"] as const).filter(column => !known.has(link[column])).map(column => ({
        row: link.row,
        column,
        found: link[column],
        accepted: `one of ${[...known].join(", ")}`,
    }));
}

function findMissingLinks(rows: SheetRows): SheetFault[] {
    const topology = new SheetTopology(rows.link);
    const zones = rows["availability-zone"];
    return zones.flatMap((zone, index) =>
        zones.slice(0, index).flatMap(other => {
            const from = { region: other.region, availabilityZone: other.name };
            const to = { region: zone.region, availabilityZone: zone.name };
            const accepted =
                `a link row from ${other.region}/${other.name} to ${zone.region}/${zone.name}, or from * to *`;
            return topology.hasLink(from, to) ? [] : [{ row: zone.row, column: "name", found: zone.name, accepted }];
        })
    );
}

function findRepeatedWeightStores(rows: SheetRows): SheetFault[] {
    const [, second] = rows["weight-store"];
    return second === undefined
        ? []
        : [{ row: second.row, column: "kind", found: "weight-store", accepted: "at most one row of this kind" }];
}
