/** Composes the quarantine of prompt parts that crash backend servers, and the writers of its records in the store. */
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { MetadataStore } from "../../domain/gateway/metadata-store.js";
import type { StoreLayout } from "../../domain/gateway/store-layout.js";
import type { ActiveConfiguration } from "../../process/gateway/active-configuration.js";
import { blockMilliseconds } from "../../process/gateway/prompt-quarantine/blocked-parts.js";
import { ExplainingAwayAttribution } from "../../process/gateway/prompt-quarantine/crash-attribution.js";
import { evidenceMilliseconds } from "../../process/gateway/prompt-quarantine/evidence-log.js";
import { LeasedRecordWriter } from "../../process/gateway/prompt-quarantine/leased-record-writer.js";
import { PromptQuarantine } from "../../process/gateway/prompt-quarantine/prompt-quarantine.js";
import { QuarantineRestoration } from "../../process/gateway/prompt-quarantine/quarantine-restoration.js";

export interface PromptQuarantineOptions {
    /** Unique to this process. */
    readonly processName: string;
    readonly store: MetadataStore;
    readonly layout: StoreLayout;
    readonly configuration: ActiveConfiguration;
    readonly routerCount: () => number;
    readonly random: RandomSource;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface ComposedQuarantine {
    readonly quarantine: PromptQuarantine;
    readonly restoration: QuarantineRestoration;
    readonly recordWriters: readonly ManagedComponent[];
}

/** Most crashes come in rows; a lease for each of them would double the calls to the store. */
const evidenceLeaseSharingMilliseconds = 30_000;

export function createPromptQuarantine(options: PromptQuarantineOptions): ComposedQuarantine {
    const { store, layout, configuration, random, metrics } = options;
    const logger = options.logger.withLabel("quarantine");
    const evidenceWriter = new LeasedRecordWriter(
        store,
        { leaseMilliseconds: evidenceMilliseconds, leaseSharingMilliseconds: evidenceLeaseSharingMilliseconds },
        random,
        logger,
    );
    const blockWriter = new LeasedRecordWriter(
        store,
        { leaseMilliseconds: blockMilliseconds, leaseSharingMilliseconds: 0 },
        random,
        logger,
    );
    const quarantine = new PromptQuarantine({
        witness: options.processName,
        evidencePrefix: layout.crashEvidenceKeyPrefix,
        blockPrefix: layout.blockedPartKeyPrefix,
        attribution: new ExplainingAwayAttribution(),
        writeEvidence: record => evidenceWriter.write(record),
        writeBlock: record => blockWriter.write(record),
        configurationVersion: () => configuration.current?.version ?? 0,
        failures: options.failures,
        metrics,
        logger,
    });
    const { routerCount } = options;
    const restoration = new QuarantineRestoration({ quarantine, blockWriter, evidenceWriter, routerCount, random });
    return { quarantine, restoration, recordWriters: [evidenceWriter, blockWriter] };
}
