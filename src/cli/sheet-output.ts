/** Formats the results of the sheet commands. */
import type { VersionRecord } from "../domain/configuration-record.js";
import { RowChange, type RowDifference } from "../domain/sheet-difference.js";
import { formatFault, type SheetFault } from "../errors/index.js";
import type { ActivationReport } from "../process/configuration/index.js";

const changeMarks: Readonly<Record<RowChange, string>> = {
    [RowChange.added]: "+",
    [RowChange.removed]: "-",
    [RowChange.changed]: "~",
};

export function formatDifferences(differences: readonly RowDifference[]): string {
    return differences.length === 0 ? "no row differs\n" : differences.map(formatDifference).join("");
}

function formatDifference(difference: RowDifference): string {
    const cells = difference.cells.map(cell => `    ${cell.column}: "${cell.before}" -> "${cell.after}"\n`);
    return `${changeMarks[difference.change]} ${difference.kind} ${difference.name}\n${cells.join("")}`;
}

export function formatFaults(faults: readonly SheetFault[]): string {
    return `${faults.map(formatFault).join("\n")}\n${faults.length} fault(s); the sheet is not accepted\n`;
}

export function formatRecord(record: VersionRecord): string {
    return `version ${record.version}  parent ${record.parent}  ${record.acceptedAt}  ${record.author}  ${record.pushId}\n`;
}

export function formatActivationReport(report: ActivationReport): string {
    const { confirmed, unconfirmed, waitedMilliseconds, version } = report;
    if (confirmed.length + unconfirmed.length === 0) {
        return "no router could be reached to confirm that the version is in force\n";
    }
    const total = confirmed.length + unconfirmed.length;
    const first =
        `version ${version} is in force in ${confirmed.length} of ${total} routers after ${waitedMilliseconds} ms\n`;
    const missing = unconfirmed.map(router =>
        `not confirmed: ${router.routerId} in ${router.availabilityZone}, at version ${router.version}\n`
    );
    return `${first}${missing.join("")}`;
}
