/**
 * Answers callers with the addresses of nearby live nodes that are ready to serve them.
 */
import { chooseEntryAddresses, hasRegionConstraint } from '../../decisions';
import { Plugin, registerPlugin, type Kernel } from '../../kernel';
import {
  CallerAdmission,
  Deployment,
  EntryDirectory,
  Members,
  type EntryAnswer,
} from '../../services';
import { DIRECTORY_OPTIONS } from './options';

class MemberDirectory extends EntryDirectory {
  constructor(private readonly kernel: Kernel) {
    super();
  }

  takesCallers(): boolean {
    return this.kernel.getAll(CallerAdmission).every((check) => check.takesCallers());
  }

  findAddresses(caller: Parameters<EntryDirectory['findAddresses']>[0]): EntryAnswer {
    const { callerAddress, dataCentre, region } = this.kernel.settings;
    const self = { callerAddress, dataCentre, region, takesCallers: this.takesCallers() };
    const nodes = [self, ...this.kernel.get(Members).listLive()];
    const { bounds, configuration } = this.kernel.get(Deployment);
    const isConstrained = configuration !== undefined && hasRegionConstraint(configuration);
    return {
      addresses: chooseEntryAddresses(nodes, caller, isConstrained),
      maxAgeMs: Math.min(bounds.maxAddressAgeMs, DIRECTORY_OPTIONS.maxAnswerAgeMs),
    };
  }
}

/** @internal */
export class DirectoryPlugin extends Plugin {
  static override readonly type = 'directory';

  override setUp(): void {
    this.kernel.provide(EntryDirectory, new MemberDirectory(this.kernel));
  }
}

registerPlugin(DirectoryPlugin);
