/** Chooses pipelines with the active configuration; rebuilds the underlying chooser for each new version. */
import type { Logger } from "../common/logger.js";
import type { RandomSource } from "../common/random.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import type { Location } from "../domain/topology.js";
import type { BackendServerRegistry } from "../process/backend-servers/backend-server-registry.js";
import { CostPipelineChooser } from "../request/pipeline-choice/cost-pipeline-chooser.js";
import type { PipelineChoice, PipelineChooser, PipelineRequest } from "../request/pipeline-choice/types.js";
import { PipelineGraphs } from "../version/pipeline-graph/pipeline-graphs.js";

export interface CurrentPipelineChooserOptions {
    readonly location: Location;
    readonly configurations: ConfigurationSource;
    readonly servers: BackendServerRegistry;
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class CurrentPipelineChooser implements PipelineChooser {
    private chooser: CostPipelineChooser;

    constructor(private readonly options: CurrentPipelineChooserOptions) {
        this.chooser = this.create();
        options.configurations.onChange(() => {
            this.chooser = this.create();
        });
    }

    choose(request: PipelineRequest): PipelineChoice {
        return this.chooser.choose(request);
    }

    private create(): CostPipelineChooser {
        const { configurations, servers, location, random, logger } = this.options;
        const graphs = new PipelineGraphs(configurations.current, servers);
        return new CostPipelineChooser({ location, graphs, servers, random, logger });
    }
}
