/**
 * Keeps one request from crashing further backend servers: reports its attempts that may have crashed one, and says
 * before each attempt whether the request may still be sent.
 */
import { delay } from "../../common/clock.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailure, PromptPartBlockedError } from "../../errors/index.js";
import type { PromptQuarantine } from "../../process/gateway/prompt-quarantine/prompt-quarantine.js";
import type { AttemptResult } from "./stream-attempt.js";
import type { GatewayRequest } from "./types.js";

export interface CrashGuardDependencies {
    readonly quarantine: PromptQuarantine;
    readonly reachability: ReachabilityCheck;
}

/**
 * A crashed server is away for seconds. A check at once might get the shared result of one that began before the crash.
 */
const reachabilityDelayMilliseconds = 350;
/** From the second event on, a server has begun the answer without a crash. */
const eventsOfSuccess = 2;
/** A request near this many crashes is not sent again, whatever the evidence on its parts. */
const maximumCrashes = 2;
const millisecondsPerSecond = 1_000;

export class CrashGuard {
    private readonly crashChecks: Promise<boolean>[] = [];

    constructor(private readonly dependencies: CrashGuardDependencies, private readonly request: GatewayRequest) {}

    /** Returns why the request must not be sent to a backend server again; undefined if it may be. */
    async findObjection(): Promise<string | undefined> {
        const block = this.dependencies.quarantine.findBlock(this.request.sharedPromptParts);
        if (block !== undefined) {
            return `the prompt part ${block.part} has crashed backend servers`;
        }
        if (this.crashChecks.length < maximumCrashes) {
            return undefined;
        }
        const crashes = (await Promise.all(this.crashChecks)).filter(crashed => crashed).length;
        return crashes < maximumCrashes ? undefined : `${crashes} backend servers crashed under the request`;
    }

    recordAttempt(server: ServerEntry, result: AttemptResult): void {
        const { quarantine } = this.dependencies;
        const { sharedPromptParts } = this.request;
        if (result.deliveredEvents >= eventsOfSuccess) {
            quarantine.recordSuccess(sharedPromptParts);
        }
        else if (result.streamStarted && result.connectionFailure === ConnectionFailure.broken) {
            this.crashChecks.push(this.checkCrash(server));
        }
    }

    private async checkCrash(server: ServerEntry): Promise<boolean> {
        await delay(reachabilityDelayMilliseconds);
        const { reachability, quarantine } = this.dependencies;
        const crashed = (await reachability.findUnreachable([server])).length > 0;
        if (crashed) {
            quarantine.recordSuspect(server, this.request.sharedPromptParts);
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
