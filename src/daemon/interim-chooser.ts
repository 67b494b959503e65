/** Chooses the first pipeline that tiles a model. Replaced by the cost-based choice as soon as that is wired. */
import { randomUUID } from "node:crypto";
import type { BackendServerConnections } from "../domain/backend-connection.js";
import type { Holding } from "../domain/backend-server.js";
import type { InFlightLedger } from "../domain/in-flight-ledger.js";
import { PipelinePlan, type Stage } from "../domain/pipeline-plan.js";
import type { VmEntry, VmList } from "../domain/platform.js";
import { NoPipelineError } from "../errors/index.js";
import type { PipelineChoice, PipelineChooser, PipelineRequest } from "../request/pipeline-choice/types.js";

interface KnownServer {
    readonly entry: VmEntry;
    readonly holdings: readonly Holding[];
}

export class InterimChooser implements PipelineChooser, InFlightLedger {
    private servers: KnownServer[] = [];

    async refresh(vmList: VmList, connections: BackendServerConnections): Promise<void> {
        const entries = (await vmList.list(1000)).filter(entry => entry.kind === "backend-server");
        this.servers = await Promise.all(entries.map(async entry => ({
            entry,
            holdings: (await connections.get(entry.id, entry.address).readHoldings(1000)).holdings,
        })));
    }

    begin(): () => void {
        return () => undefined;
    }

    choose(request: PipelineRequest): PipelineChoice {
        const stages: Stage[] = [];
        let next = 0;
        while (next < request.model.layerTotal) {
            const stage = this.findStage(request, next);
            if (stage === undefined) {
                throw new NoPipelineError(request.model.name);
            }
            stages.push(stage);
            next = stage.layers.last + 1;
        }
        return {
            plan: new PipelinePlan(randomUUID(), request.model.name, request.model.layerTotal, stages),
            expectedFirstTokenMilliseconds: 0,
            expectedTokenMilliseconds: 0,
            recomputedTokens: 0,
            considered: this.servers.map(server => server.entry.id),
            reason: "first that fits",
        };
    }

    private findStage(request: PipelineRequest, first: number): Stage | undefined {
        for (const server of this.servers) {
            const holding = server.holdings.find(each =>
                each.model === request.model.name && each.layers.first === first
            );
            if (holding !== undefined && !request.excluded.has(server.entry.id)) {
                return { backendServer: server.entry.id, address: server.entry.address, layers: holding.layers };
            }
        }
        return undefined;
    }
}
