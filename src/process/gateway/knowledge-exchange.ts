/**
 * Passes on what this router knows of servers and prompts to routers that start, and takes it over as this one starts. What the
 * store says later of a server, and what the server itself says, goes before it.
 */
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { FleetKnowledge, KnowledgeSource } from "../../domain/gateway/fleet-knowledge.js";
import { formatSocketAddress, isSameStart, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { PromptQuarantine } from "./prompt-quarantine/prompt-quarantine.js";
import type { ServerExclusions } from "./server-exclusions.js";
import type { LearnedServerFailures } from "./server-failures/learned-server-failures.js";
import type { ServerRegistry } from "./server-registry.js";

export interface KnowledgeExchangeDependencies {
    readonly registry: Pick<ServerRegistry, "knownDepartures" | "learnDepartures" | "get">;
    readonly exclusions: Pick<ServerExclusions, "knownPauses" | "recordRequestedPause">;
    readonly serverFailures: Pick<LearnedServerFailures, "knownFailing" | "learnFailing">;
    readonly quarantine: Pick<PromptQuarantine, "knownBlocks" | "learnBlocks">;
    readonly source: KnowledgeSource;
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class KnowledgeExchange {
    constructor(private readonly dependencies: KnowledgeExchangeDependencies) {}

    get knowledge(): FleetKnowledge {
        const { registry, exclusions, serverFailures, quarantine } = this.dependencies;
        return {
            departures: registry.knownDepartures,
            pauses: exclusions.knownPauses,
            failing: serverFailures.knownFailing,
            blocks: quarantine.knownBlocks,
        };
    }

    /** Asks one of the routers; without an answer nothing is learnt. */
    async learnFromOne(routers: readonly SocketAddress[]): Promise<void> {
        const { source, random, logger } = this.dependencies;
        const router = routers[Math.floor(random.next() * routers.length)];
        if (router === undefined) {
            return;
        }
        try {
            this.learn(await source.readKnowledge(router));
        }
        catch (error) {
            logger.info("could not ask another router for what it knows of servers", {
                router: formatSocketAddress(router),
                error: String(error),
            });
        }
    }

    private learn({ departures, pauses, failing, blocks }: FleetKnowledge): void {
        const { registry, exclusions, serverFailures, quarantine, logger } = this.dependencies;
        registry.learnDepartures(departures);
        pauses.forEach(pause => exclusions.recordRequestedPause(pause, pause.milliseconds));
        for (const { id, bornAt, milliseconds } of failing) {
            const entry = registry.get(id)?.entry;
            if (entry !== undefined && isSameStart(entry, { id, bornAt })) {
                serverFailures.learnFailing(entry, milliseconds);
            }
        }
        quarantine.learnBlocks(blocks);
        logger.info("learnt from another router what it knows of servers", {
            departures: departures.length,
            pauses: pauses.length,
            failing: failing.length,
            blocks: blocks.length,
        });
    }
}
