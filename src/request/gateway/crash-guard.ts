/**
 * Keeps one request from crashing further backend servers: reports its attempts near the crash of one, and says before
 * each attempt whether the request may still be sent.
 */
import { delay } from "../../common/clock.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import { formatServerStart, type ServerEntry } from "../../domain/gateway/server-entry.js";
import { PromptPartBlockedError } from "../../errors/index.js";
import type { PromptQuarantine } from "../../process/gateway/prompt-quarantine/prompt-quarantine.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { GatewayRequest } from "./types.js";

export interface CrashGuardDependencies {
    readonly quarantine: PromptQuarantine;
    readonly registry: Pick<ServerRegistry, "hasRestarted">;
    readonly reachability: ReachabilityCheck;
}

/**
 * A crashed server is away for seconds. A check at once might get the shared result of one that began before the crash.
 */
const reachabilityDelayMilliseconds = 350;
/** A request that may have caused this many crashes is not sent again, before the evidence of several requests decides. */
const maximumCrashes = 2;
const millisecondsPerSecond = 1_000;

export class CrashGuard {
    /** For each server that may be lost, in an attempt that it had not survived: whether it crashed. */
    private readonly earlyCrashChecks: Promise<boolean>[] = [];
    private knownEarlyCrashes = 0;
    /** Starts of the servers that have been checked for this request. */
    private readonly checkedStarts = new Set<string>();

    constructor(private readonly dependencies: CrashGuardDependencies, private readonly request: GatewayRequest) {}

    /** Returns why the request must not be sent to a backend server again; undefined if it may be. */
    async findObjection(): Promise<string | undefined> {
        const { quarantine } = this.dependencies;
        const { sharedPromptParts } = this.request;
        const block = quarantine.findBlock(sharedPromptParts);
        if (block !== undefined) {
            return `the prompt part ${block.part} has crashed backend servers`;
        }
        if (this.earlyCrashChecks.length < maximumCrashes) {
            return undefined;
        }
        const crashes = (await Promise.all(this.earlyCrashChecks)).filter(crashed => crashed).length;
        return crashes >= maximumCrashes && quarantine.isSuspected(sharedPromptParts)
            ? `${crashes} backend servers crashed under the request`
            : undefined;
    }

    /** Whether the request must not be sent again, by the checks that have ended. */
    get hasCrashedServers(): boolean {
        return this.knownEarlyCrashes >= maximumCrashes
            && this.dependencies.quarantine.isSuspected(this.request.sharedPromptParts);
    }

    /** Records that a server survives the request. */
    recordSurvival(): void {
        if (this.request.sharedPromptParts.length > 0) {
            this.dependencies.quarantine.recordSuccess(this.request.sharedPromptParts);
        }
    }

    /**
     * Records that an attempt may have lost a server of its path, however far its answer had come: what tells a crash is that
     * the server is gone afterwards. Requests that ran beside the one at fault lose it as well, and most of theirs succeed.
     */
    recordLoss(server: ServerEntry, survived: boolean): void {
        const start = formatServerStart(server);
        if (this.request.sharedPromptParts.length === 0 || this.checkedStarts.has(start)) {
            return;
        }
        this.checkedStarts.add(start);
        const check = this.checkCrash(server, !survived);
        if (!survived) {
            this.earlyCrashChecks.push(check);
        }
    }

    private async checkCrash(server: ServerEntry, early: boolean): Promise<boolean> {
        await delay(reachabilityDelayMilliseconds);
        const { reachability, registry, quarantine } = this.dependencies;
        const crashed = registry.hasRestarted(server) || (await reachability.findUnreachable([server])).length > 0;
        if (crashed) {
            this.knownEarlyCrashes += Number(early);
            quarantine.recordSuspect(server, this.request.sharedPromptParts, early);
        }
        return crashed;
    }
}

/** Throws PromptPartBlockedError if a part of the prompt is blocked. For requests that have not run. */
export function refuseBlockedPrompt(quarantine: PromptQuarantine, { sharedPromptParts }: GatewayRequest): void {
    const block = quarantine.findBlock(sharedPromptParts);
    if (block !== undefined) {
        throw new PromptPartBlockedError(block.part, Math.ceil(block.remainingMilliseconds / millisecondsPerSecond));
    }
}
